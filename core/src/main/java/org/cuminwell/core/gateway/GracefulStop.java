package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.forward.AcceptancePolicy;
import org.jspecify.annotations.Nullable;

/**
 * Decides what a gateway still takes after it was asked to stop, and when what runs is cut.
 *
 * <p>At first it still takes what is expected to end in time, so that callers who were told of this
 * host a moment ago are not refused while they learn of another. Then it refuses new requests and
 * lets running ones finish until the time is up. Invariant: each step is due once. Not thread safe:
 * one thread owns it.
 */
final class GracefulStop {

  /** How long callers may still come by an old answer of the directory. */
  static final Duration CALLERS_LEARN = Duration.ofSeconds(3);

  private @Nullable Instant askedAt;
  private Duration within = Duration.ZERO;
  private boolean refusing;
  private boolean cutting;
  private boolean idle;

  /**
   * Takes in that a stop was asked for, and returns whether it is the first time.
   *
   * @param within how long running requests may take from now on
   */
  boolean ask(Duration within, Instant now) {
    if (askedAt != null) {
      return false;
    }
    askedAt = now;
    this.within = within;
    return true;
  }

  boolean isAsked() {
    return askedAt != null;
  }

  /** Returns which new requests are taken. */
  AcceptancePolicy intake(Instant now) {
    if (askedAt == null) {
      return new AcceptancePolicy.All();
    }
    return after(now).compareTo(takesFor()) < 0
        ? new AcceptancePolicy.EndingBy(askedAt.plus(within))
        : new AcceptancePolicy.None();
  }

  /** Returns whether no new requests are taken. */
  boolean refuses(Instant now) {
    return intake(now) instanceof AcceptancePolicy.None;
  }

  /** Returns how long ago the stop was asked for. */
  Duration after(Instant now) {
    return askedAt == null ? Duration.ZERO : Duration.between(askedAt, now);
  }

  /** Returns true once, to do what is due when new requests begin to be refused. */
  boolean beginsRefusing(Instant now) {
    boolean due = !refusing && refuses(now);
    refusing |= due;
    return due;
  }

  /** Returns true once, to cut what still runs when the time is up. */
  boolean beginsCutting(Instant now) {
    boolean due = !cutting && askedAt != null && after(now).compareTo(within) >= 0;
    cutting |= due;
    return due;
  }

  /** Returns true once, when nothing runs any more and nothing is taken. */
  boolean becomesIdle(boolean nothingRuns, Instant now) {
    boolean due = !idle && nothingRuns && refuses(now);
    idle |= due;
    return due;
  }

  private Duration takesFor() {
    Duration half = within.dividedBy(2);
    return half.compareTo(CALLERS_LEARN) < 0 ? half : CALLERS_LEARN;
  }
}
