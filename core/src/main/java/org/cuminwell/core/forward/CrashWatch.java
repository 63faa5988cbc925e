package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.crash.CrashDetector;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/**
 * Watches the attempts of a gateway for endpoints that crash, and finds the requests that must not
 * be sent since requests like them crashed several.
 *
 * <p>Invariant: an attempt whose response had been arriving for {@link #HARMLESS} is not suspected.
 * Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class CrashWatch {

  /** How long a response must have been arriving before its request is no longer suspected. */
  static final Duration HARMLESS = Duration.ofMillis(500);

  /** How long a response must have been arriving to clear the traits of its request. */
  static final Duration WORKING = Duration.ofMillis(250);

  private static final String MESSAGE =
      "requests like this one crashed several endpoints; do not repeat it";

  private final EndpointTable endpoints;
  private final CrashEvidence evidence;
  private final CrashDetector detector = new CrashDetector();

  CrashWatch(EndpointTable endpoints, CrashEvidence evidence) {
    this.endpoints = endpoints;
    this.evidence = evidence;
  }

  /** Records that the connection of the running attempt ended before its response was complete. */
  void recordConnectionLost(ForwardedCall call, Instant now) {
    Announcement endpoint = call.endpoint().orElseThrow();
    if (isLeaving(endpoint)) {
      return;
    }
    boolean isHarmless =
        call.attemptResponding(now).filter(t -> t.compareTo(HARMLESS) >= 0).isPresent();
    List<Trait> suspects = isHarmless ? List.of() : call.traits();
    detector.recordLost(incarnation(endpoint), call.service(), suspects, now);
  }

  /** Records that the endpoint has sent a part of its response to the running attempt. */
  void recordResponse(ForwardedCall call, Instant now) {
    EndpointIncarnation endpoint = incarnation(call.endpoint().orElseThrow());
    Instant sentAt = now.minus(call.attemptElapsed(now));
    detector.recordAlive(endpoint, sentAt, now);
    evidence.recordAlive(endpoint, sentAt, now);
    if (call.attemptResponding(now).filter(t -> t.compareTo(WORKING) >= 0).isPresent()) {
      recordWorked(call, now);
    }
  }

  /** Records that the running attempt has ended with a complete response. */
  void recordCompleted(ForwardedCall call, Instant now) {
    recordResponse(call, now);
    recordWorked(call, now);
  }

  /** Returns the failure of a request that must not be sent now, or empty if it may be. */
  Optional<Failure> findSuspension(ForwardedCall call, Instant now) {
    return evidence.admits(call.traits(), now)
        ? Optional.empty()
        : Optional.of(suspended(evidence.remainingHold(call.traits(), now)));
  }

  /**
   * Returns the failure of a request that was sent before it was suspended and that no endpoint has
   * begun to respond to, or empty if there is no reason to cancel it.
   */
  Optional<Failure> findSuspensionOfAttempt(ForwardedCall call, Instant now) {
    Duration hold = evidence.remainingHold(call.traits(), now);
    return hold.isZero() || !call.isAttempting() || call.attemptResponding(now).isPresent()
        ? Optional.empty()
        : Optional.of(suspended(hold));
  }

  /** Returns whether {@link #findSuspensionOfAttempt} finds nothing for any request. */
  boolean hasNoSuspensions() {
    return evidence.hasNoSuspensions();
  }

  /** Returns whether a request that lost its endpoint may be sent to another one. */
  boolean allowsRetry(ForwardedCall call) {
    return !evidence.forbidsRetry(call.traits());
  }

  /** Reports the crashes that were detected, and draws conclusions from all evidence. */
  void tick(Instant now) {
    detector.takeReports(now).forEach(report -> evidence.recordCrash(report, now));
    evidence.tick(endpoints::hasRestarted, now);
  }

  private void recordWorked(ForwardedCall call, Instant now) {
    call.attemptResponding(now)
        .filter(_ -> call.isSuccess())
        .ifPresent(t -> evidence.recordWorked(call.traits(), now.minus(t), now));
  }

  private boolean isLeaving(Announcement endpoint) {
    return endpoints
        .find(endpoint.endpoint())
        .filter(entry -> entry.announcement().incarnation() == endpoint.incarnation())
        .filter(EndpointTable.Entry::leaving)
        .isPresent();
  }

  private static Failure suspended(Duration hold) {
    return Failure.notRunRetryAfter(ErrorCode.SUSPENDED, MESSAGE, hold);
  }

  private static EndpointIncarnation incarnation(Announcement endpoint) {
    return new EndpointIncarnation(endpoint.endpoint(), endpoint.incarnation());
  }
}
