package org.cuminwell.soak;

import java.time.Duration;
import java.util.Map;

/**
 * Holds the bounds of the rules that are checked, as the site charbon-commun has them. Stateless
 * and thread safe.
 */
final class Bounds {

  /** How long a process may take to end after SIGTERM. */
  static final Duration GRACE = Duration.ofSeconds(8);

  /** How long before a request an unplanned disruption excuses its loss. */
  static final Duration CONTACT = Duration.ofSeconds(5);

  /** How long a request that was not passed on may wait for the end of its connection. */
  static final Duration LOSS_SLACK = Duration.ofMillis(200);

  /** How long after SIGTERM a caller may not know of it yet. */
  static final Duration SENT_BEFORE_KNOWN = Duration.ofSeconds(3);

  static final Duration BUDGET_WINDOW = Duration.ofSeconds(10);
  static final double RETRY_RATIO = 0.2;
  static final int RETRY_EXTRA = 52;

  private Bounds() {}

  /** Returns the bounds as fields of the settings of a process. */
  static Map<String, Object> settings() {
    return Map.of(
        "graceS",
        GRACE.toSeconds(),
        "revokeMs",
        5_000,
        "retryBudgetRatio",
        RETRY_RATIO,
        "retryBudgetExtra",
        RETRY_EXTRA,
        "quotaOvershoot",
        0.1,
        "quotaSlack",
        72_000,
        "exposureShare",
        0.1,
        "exposureSlack",
        50);
  }
}
