package org.cuminwell.core.gateway;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.forward.AcceptancePolicy;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests a gateway accepts after a stop was requested, and when it aborts those
 * that are still running.
 *
 * <p>At first it still accepts requests that are expected to end within the grace period, since
 * callers may use this host until they receive a new list of entry hosts. Then it refuses new
 * requests and lets running ones finish until the grace period is over. Invariant: each step is due
 * once. Not thread safe: one thread owns it.
 */
final class GracefulStop {

  /**
   * The maximum time for which a stopping gateway accepts requests: callers may use this host for
   * that long on the basis of an earlier list of entry hosts.
   */
  static final Duration MAX_ACCEPTANCE_PERIOD = Duration.ofSeconds(3);

  private @Nullable Instant requestedAt;
  private Duration gracePeriod = Duration.ZERO;
  private boolean refusingStarted;
  private boolean abortingStarted;
  private boolean becameIdle;

  /**
   * Records that a stop was requested, and returns whether it is the first request; later ones are
   * ignored.
   *
   * @param gracePeriod how long running requests may still take
   */
  boolean request(Duration gracePeriod, Instant now) {
    if (requestedAt != null) {
      return false;
    }
    requestedAt = now;
    this.gracePeriod = gracePeriod;
    return true;
  }

  boolean isRequested() {
    return requestedAt != null;
  }

  /** Returns which new requests are accepted. */
  AcceptancePolicy acceptancePolicy(Instant now) {
    if (requestedAt == null) {
      return new AcceptancePolicy.All();
    }
    return elapsed(now).compareTo(acceptancePeriod()) < 0
        ? new AcceptancePolicy.EndingBy(requestedAt.plus(gracePeriod))
        : new AcceptancePolicy.None();
  }

  /** Returns whether all new requests are refused. */
  boolean refusesNewRequests(Instant now) {
    return acceptancePolicy(now) instanceof AcceptancePolicy.None;
  }

  /** Returns the time since the stop was requested; zero if it was not. */
  Duration elapsed(Instant now) {
    return requestedAt == null ? Duration.ZERO : Duration.between(requestedAt, now);
  }

  /** Returns true once, when the gateway starts to refuse new requests. */
  boolean startRefusingIfDue(Instant now) {
    boolean due = !refusingStarted && refusesNewRequests(now);
    refusingStarted |= due;
    return due;
  }

  /** Returns true once, when the grace period is over and running requests must be aborted. */
  boolean startAbortingIfDue(Instant now) {
    boolean due =
        !abortingStarted && requestedAt != null && elapsed(now).compareTo(gracePeriod) >= 0;
    abortingStarted |= due;
    return due;
  }

  /** Returns true once, when no request is running and new ones are refused. */
  boolean becomeIdleIfDue(boolean nothingIsRunning, Instant now) {
    boolean due = !becameIdle && nothingIsRunning && refusesNewRequests(now);
    becameIdle |= due;
    return due;
  }

  private Duration acceptancePeriod() {
    Duration half = gracePeriod.dividedBy(2);
    return half.compareTo(MAX_ACCEPTANCE_PERIOD) < 0 ? half : MAX_ACCEPTANCE_PERIOD;
  }
}
