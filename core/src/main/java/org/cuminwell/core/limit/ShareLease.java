package org.cuminwell.core.limit;

import java.time.Duration;

/** Names the times that the holders and the granter of shares agree on. Stateless. */
public final class ShareLease {

  /** How long a share counts at its holder, from the sending of the report it answers. */
  public static final Duration LEASE = Duration.ofSeconds(5);

  /**
   * How much longer the granter counts it, from the grant. Covers clocks whose rates differ by up
   * to a tenth.
   */
  public static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

  /** How often a holder reports while it has or wants a share. */
  public static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  /** How much time is at least between two reports of a holder. */
  public static final Duration MIN_REPORT_GAP = Duration.ofMillis(100);

  /** After what time a holder asks again for tokens that a request lacks. */
  public static final Duration MISSING_TOKENS_PERIOD = Duration.ofMillis(300);

  private ShareLease() {}
}
