package org.cuminwell.core.limit;

import java.time.Duration;

/** Defines the times that holders and the granter of shares agree on. Stateless. */
public final class ShareLease {

  /** How long a holder may use a share after it sent the report that the grant answers. */
  public static final Duration LEASE = Duration.ofSeconds(5);

  /**
   * How much longer than {@link #LEASE} the granter reserves a share, counted from the arrival of
   * the report. Covers clock rates that differ by up to a tenth.
   */
  public static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

  /** How often a holder that has or wants a share reports. */
  public static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  /** Minimum time between two reports of a holder. */
  public static final Duration MIN_REPORT_GAP = Duration.ofMillis(100);

  /** Minimum time before a holder reports missing tokens again. */
  public static final Duration MISSING_TOKENS_PERIOD = Duration.ofMillis(300);

  private ShareLease() {}
}
