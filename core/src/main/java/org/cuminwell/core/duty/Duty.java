package org.cuminwell.core.duty;

import java.util.Locale;

/** Names a duty that one control host at a time holds. */
public enum Duty {
  /** Reports to the platform how many requests of each customer began to run. */
  USAGE_REPORT,
  /** Orders endpoints of services that scale. */
  SCALE;

  /** Returns the name in settings, logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the duty of that label.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static Duty ofLabel(String label) {
    for (Duty duty : values()) {
      if (duty.label().equals(label)) {
        return duty;
      }
    }
    throw new IllegalArgumentException("no duty is named '" + label + "'");
  }
}
