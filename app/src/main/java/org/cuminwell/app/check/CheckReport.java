package org.cuminwell.app.check;

import java.util.List;
import java.util.Optional;

/**
 * Holds what a check found, ready for output.
 *
 * <p>Immutable and thread safe.
 *
 * @param form the form of the file, {@code document} or {@code ticket}
 * @param differences the differences from the configuration in force; empty if it was not read
 */
public record CheckReport(
    String form, List<ReportedFinding> findings, Optional<List<ReportedDifference>> differences) {

  /** Copies the lists. */
  public CheckReport {
    findings = List.copyOf(findings);
    differences = differences.map(List::copyOf);
  }

  /**
   * Holds a finding with its path in the file. Immutable and thread safe.
   *
   * @param severity {@code error}, {@code warning} or {@code information}
   * @param fails whether the check fails because of it
   * @param path the path in the file; empty for the whole of it
   */
  public record ReportedFinding(String severity, boolean fails, String path, String message) {}

  /**
   * Holds a difference. Immutable and thread safe.
   *
   * @param change the kind of difference, such as {@code added}
   * @param kind the kind of the entry, such as {@code route}
   * @param name the name of the entry; empty for caller limits
   * @param fields what changed, in alphabetical order
   * @param effect what the change means for requests that run when it takes effect
   */
  public record ReportedDifference(
      String change, String kind, String name, List<String> fields, String effect) {
    /** Copies the list. */
    public ReportedDifference {
      fields = List.copyOf(fields);
    }
  }

  /** Returns whether the check fails. */
  public boolean fails() {
    return findings.stream().anyMatch(ReportedFinding::fails);
  }
}
