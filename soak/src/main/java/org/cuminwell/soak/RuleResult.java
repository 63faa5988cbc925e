package org.cuminwell.soak;

import java.util.List;
import java.util.Set;

/**
 * Says how often a rule was put to the test in a run, and how it was broken. Immutable and thread
 * safe.
 *
 * @param tested how many requests or windows could have broken the rule
 * @param note what else a reader should know, such as how close it was
 */
record RuleResult(String rule, long tested, List<Violation> violations, String note) {

  /** Describes how a rule was broken, and by which requests. */
  record Violation(String what, Set<String> requests) {}

  RuleResult(String rule, long tested, List<Violation> violations) {
    this(rule, tested, violations, "");
  }

  /** Copies the list. */
  RuleResult {
    violations = List.copyOf(violations);
  }

  /** Returns one line for a reader. */
  String describe() {
    String state = tested == 0 ? "not tested" : violations.isEmpty() ? "held" : "BROKEN";
    return "%-8s %-10s tested %d, broken %d%s"
        .formatted(rule, state, tested, violations.size(), note.isEmpty() ? "" : "; " + note);
  }
}
