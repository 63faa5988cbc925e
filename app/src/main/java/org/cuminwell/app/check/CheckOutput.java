package org.cuminwell.app.check;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.cuminwell.app.check.CheckReport.ReportedDifference;
import org.cuminwell.app.check.CheckReport.ReportedFinding;

/** Writes a report as text for people or as JSON for programs. Stateless and thread safe. */
public final class CheckOutput {

  private CheckOutput() {}

  /** Returns a line for each finding and difference, and a last line with their numbers. */
  public static String text(String file, CheckReport report) {
    StringBuilder text = new StringBuilder();
    for (ReportedFinding finding : report.findings()) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-11s  %s%s%n",
              finding.severity(),
              finding.path().isEmpty() ? "" : finding.path() + ": ",
              finding.message()));
    }
    for (ReportedDifference difference : report.differences().orElse(List.of())) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-11s  %s%s: %s%n",
              difference.change(),
              (difference.kind() + " " + difference.name()).strip(),
              difference.fields().isEmpty()
                  ? ""
                  : " (" + String.join(", ", difference.fields()) + ")",
              difference.effect()));
    }
    return text.append(summary(file, report)).append(System.lineSeparator()).toString();
  }

  private static String summary(String file, CheckReport report) {
    String summary =
        file
            + ": "
            + report.form()
            + ", errors "
            + count(report, "error")
            + ", warnings "
            + count(report, "warning")
            + ", information "
            + count(report, "information");
    return report.differences().map(all -> summary + ", differences " + all.size()).orElse(summary);
  }

  private static long count(CheckReport report, String severity) {
    return report.findings().stream().filter(f -> f.severity().equals(severity)).count();
  }

  /** Returns one JSON object; {@code differences} is missing if there was no comparison. */
  public static ObjectNode json(String file, CheckReport report) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("file", file).put("form", report.form()).put("failed", report.fails());
    ArrayNode findings = root.putArray("findings");
    for (ReportedFinding finding : report.findings()) {
      findings
          .addObject()
          .put("severity", finding.severity())
          .put("path", finding.path())
          .put("message", finding.message());
    }
    report.differences().ifPresent(all -> addDifferences(root, all));
    return root;
  }

  private static void addDifferences(ObjectNode root, List<ReportedDifference> differences) {
    ArrayNode nodes = root.putArray("differences");
    for (ReportedDifference difference : differences) {
      ObjectNode node =
          nodes
              .addObject()
              .put("change", difference.change())
              .put("kind", difference.kind())
              .put("name", difference.name());
      ArrayNode fields = node.putArray("fields");
      difference.fields().forEach(fields::add);
      node.put("effect", difference.effect());
    }
  }
}
