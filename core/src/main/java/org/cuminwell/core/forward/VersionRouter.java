package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.core.rollout.VersionChooser;

/**
 * Removes the endpoints of versions that a forwarded request may not use from the candidates, and
 * records how attempts perform so that versions can be compared.
 *
 * <p>Invariants: a version that was rolled back receives no requests; a version whose rollout is in
 * progress receives at most its share of the requests that this gateway sends, and none unless the
 * configuration in force is known to be recent. Not thread safe: the thread of its {@link
 * Forwarder} owns it.
 */
final class VersionRouter {

  /**
   * The estimate given to {@link VersionChooser} for every request. It is the same for all, so that
   * a rollout's share bounds the number of requests rather than their tokens.
   */
  private static final long REQUEST_WEIGHT = 1;

  private final EndpointTable endpoints;
  private final VersionChooser chooser = new VersionChooser();
  private final NewVersionGate newVersionGate = new NewVersionGate();
  private final Map<RequestId, Attempt> attempts = new HashMap<>();
  private final Set<RetiredIncarnation> retiredIncarnations = new HashSet<>();
  private Map<String, ServiceRolloutState> rollouts = Map.of();

  /** Every change committed before this time is in force on this gateway. */
  private Instant currentAsOf = Instant.MIN;

  /** Identifies an incarnation of an endpoint that a completed rollout has replaced. */
  private record RetiredIncarnation(EndpointId endpoint, long incarnation) {

    static RetiredIncarnation of(Entry entry) {
      Announcement announcement = entry.announcement();
      return new RetiredIncarnation(announcement.endpoint(), announcement.incarnation());
    }
  }

  /** Tracks which measurements of an attempt have been recorded for its version. */
  private static final class Attempt {

    private final Instant sentAt;
    private boolean firstTokenRecorded;
    private boolean gapRecorded;
    private boolean endpointFailed;

    Attempt(Instant sentAt) {
      this.sentAt = sentAt;
    }
  }

  VersionRouter(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /**
   * Applies the rollouts of the configuration in force.
   *
   * @param currentAsOf every change committed before this time is in force on this gateway
   */
  void configure(Forwarding forwarding, Instant currentAsOf, Instant now) {
    if (!forwarding.serviceRollouts().equals(rollouts)) {
      forwarding.serviceRollouts().forEach((service, next) -> retireReplaced(service, next, now));
      rollouts = forwarding.serviceRollouts();
    }
    this.currentAsOf = currentAsOf;
    chooser.recordSteps(
        rollouts.values().stream().map(ServiceRolloutState::last).toList(), currentAsOf);
  }

  /** Retires the endpoints of other versions if the rollout of the service has just completed. */
  private void retireReplaced(String service, ServiceRolloutState next, Instant now) {
    ServiceRolloutState previous = rollouts.get(service);
    boolean justCompleted =
        previous != null
            && !previous.last().state().isFinal()
            && next.last().state() instanceof RolloutState.Done;
    if (justCompleted) {
      endpoints.findServing(service, now).stream()
          .filter(hasVersion(next.last().rollout().to()).negate())
          .forEach(entry -> retiredIncarnations.add(RetiredIncarnation.of(entry)));
    }
  }

  /**
   * Returns the candidates that the request may be sent to. Excludes replaced incarnations,
   * versions that were rolled back and versions that {@link NewVersionGate} holds back. Until the
   * latest rollout is done, all returned candidates have its new version, or none has.
   *
   * <p>Also records the versions that the service's endpoints have now.
   *
   * @param isInSlowStart matches endpoints in slow start, which receive no requests if they have
   *     the new version of an unfinished rollout
   */
  List<Entry> selectPermitted(
      ForwardedCall call, List<Entry> candidates, Predicate<Entry> isInSlowStart, Instant now) {
    String service = call.service();
    newVersionGate.update(service, endpoints.findServing(service, now), now);
    List<Entry> usable =
        candidates.stream()
            .filter(entry -> newVersionGate.isUsable(service, entry, currentAsOf))
            .filter(entry -> !retiredIncarnations.contains(RetiredIncarnation.of(entry)))
            .toList();
    ServiceRolloutState rollout = rollouts.get(service);
    return rollout == null ? usable : selectByRollout(call, rollout, usable, isInSlowStart, now);
  }

  private List<Entry> selectByRollout(
      ForwardedCall call,
      ServiceRolloutState rollout,
      List<Entry> usable,
      Predicate<Entry> isInSlowStart,
      Instant now) {
    RolloutProgress lastStep = rollout.last();
    Predicate<Entry> hasNewVersion = hasVersion(lastStep.rollout().to());
    List<Entry> notBarred =
        usable.stream()
            .filter(entry -> !rollout.barred().contains(entry.announcement().version()))
            .toList();
    if (lastStep.state() instanceof RolloutState.Done) {
      return notBarred;
    }
    List<Entry> newEntries =
        notBarred.stream().filter(hasNewVersion).filter(isInSlowStart.negate()).toList();
    boolean useNewVersion =
        !newEntries.isEmpty()
            && chooser.admitsNew(
                lastStep.rollout().subject(), call.route().id(), REQUEST_WEIGHT, now);
    return useNewVersion ? newEntries : notBarred.stream().filter(hasNewVersion.negate()).toList();
  }

  /** Records that an attempt of the request was sent to the endpoint. */
  void recordSent(ForwardedCall call, Announcement target, Instant now) {
    ServiceRolloutState rollout = rollouts.get(call.service());
    if (rollout == null || rollout.last().state().isFinal()) {
      return;
    }
    attempts.put(call.id(), new Attempt(now));
    RolloutSubject subject = rollout.last().rollout().subject();
    chooser.recordAttemptStarted(
        call.id(), subject, call.route().id(), target.version(), REQUEST_WEIGHT, now);
  }

  /** Records that the body of the response has started, which counts as its first token. */
  void recordBodyStarted(ForwardedCall call, Instant now) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null) {
      recordFirstToken(call.id(), attempt, now);
    }
  }

  private void recordFirstToken(RequestId id, Attempt attempt, Instant now) {
    if (!attempt.firstTokenRecorded && !attempt.endpointFailed) {
      attempt.firstTokenRecorded = true;
      chooser.recordFirstToken(id, Duration.between(attempt.sentAt, now), now);
    }
  }

  /**
   * Records the mean time between events of the response as the time between its tokens; only the
   * first value of an attempt counts.
   */
  void recordEventGap(ForwardedCall call, Duration meanGap, Instant now) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null && !attempt.gapRecorded) {
      attempt.gapRecorded = true;
      chooser.recordTokenGap(call.id(), meanGap, now);
    }
  }

  /** Records that the endpoint ran the request and failed, so that the attempt counts as failed. */
  void recordEndpointFailure(ForwardedCall call) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null) {
      attempt.endpointFailed = true;
    }
  }

  /** Records that the complete response was passed on. */
  void recordCompleted(ForwardedCall call, Instant now) {
    Attempt attempt = attempts.remove(call.id());
    if (attempt != null) {
      recordFirstToken(call.id(), attempt, now);
      chooser.recordAttemptEnded(call.id(), attempt.endpointFailed, now);
    }
  }

  /**
   * Records that the attempt ended without a complete response. Has no effect after {@link
   * #recordCompleted}.
   *
   * @param endpointAtFault whether the attempt counts as a failure of the endpoint's version
   */
  void recordIncomplete(ForwardedCall call, boolean endpointAtFault, Instant now) {
    Attempt attempt = attempts.remove(call.id());
    if (attempt != null) {
      recordFirstTokenIfSlow(call.id(), attempt, now);
      chooser.recordAttemptEnded(call.id(), endpointAtFault || attempt.endpointFailed, now);
    }
  }

  /**
   * Records the time waited so far as the time to the first token, if it already counts as slow.
   */
  private void recordFirstTokenIfSlow(RequestId id, Attempt attempt, Instant now) {
    if (chooser.isFirstTokenSlow(id, Duration.between(attempt.sentAt, now))) {
      recordFirstToken(id, attempt, now);
    }
  }

  /** Returns the report for the control hosts if one is due. */
  Optional<RolloutMessage.Report> createReportIfDue(
      HostId self, Predicate<Entry> isInSlowStart, Instant now) {
    for (Map.Entry<String, ServiceRolloutState> entry : rollouts.entrySet()) {
      RolloutProgress lastStep = entry.getValue().last();
      long newEndpoints =
          endpoints.findServing(entry.getKey(), now).stream()
              .filter(hasVersion(lastStep.rollout().to()))
              .filter(isInSlowStart.negate())
              .count();
      chooser.setNewEndpointCount(lastStep.rollout().subject(), Math.toIntExact(newEndpoints));
    }
    return chooser.createReportIfDue(self, now);
  }

  /**
   * Records slow first tokens of attempts that still wait for theirs, and drops the state of
   * removed endpoints and versions.
   */
  void tick(Instant now) {
    attempts.forEach((id, attempt) -> recordFirstTokenIfSlow(id, attempt, now));
    retiredIncarnations.removeIf(
        incarnation ->
            endpoints
                .find(incarnation.endpoint())
                .filter(e -> RetiredIncarnation.of(e).equals(incarnation))
                .isEmpty());
    rollouts
        .keySet()
        .forEach(
            service -> newVersionGate.update(service, endpoints.findServing(service, now), now));
  }

  private static Predicate<Entry> hasVersion(VersionId version) {
    return entry -> entry.announcement().version().equals(version);
  }
}
