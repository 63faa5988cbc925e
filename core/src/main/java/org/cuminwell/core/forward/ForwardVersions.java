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
 * Joins forwarded requests to the choice and comparison of versions.
 *
 * <p>Invariants: a version that was taken back gets nothing; one that is not proven gets at most
 * its share of what this gateway sends, and nothing while the configuration in force is not known
 * to be recent. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class ForwardVersions {

  /** Every request counts the same, since the bound counts requests. */
  private static final long ONE_REQUEST = 1;

  private final EndpointTable endpoints;
  private final VersionChooser chooser = new VersionChooser();
  private final KnownVersions known = new KnownVersions();
  private final Map<RequestId, Attempt> attempts = new HashMap<>();
  private final Set<Retired> retired = new HashSet<>();
  private Map<String, ServiceRolloutState> moves = Map.of();
  private Instant currentAt = Instant.MIN;

  /** Names a life of an endpoint that a finished move has left behind. */
  private record Retired(EndpointId endpoint, long incarnation) {

    static Retired of(Entry entry) {
      Announcement announcement = entry.announcement();
      return new Retired(announcement.endpoint(), announcement.incarnation());
    }
  }

  /** Follows an attempt that tells of its version. */
  private static final class Attempt {

    private final Instant sentAt;
    private boolean firstTokenTold;
    private boolean gapTold;
    private boolean failed;

    Attempt(Instant sentAt) {
      this.sentAt = sentAt;
    }
  }

  ForwardVersions(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /**
   * Takes on the moves in force.
   *
   * @param currentAt the moment before which every change committed anywhere is in force here
   */
  void configure(Forwarding forwarding, Instant currentAt, Instant now) {
    if (!forwarding.serviceRollouts().equals(moves)) {
      forwarding.serviceRollouts().forEach((service, next) -> retire(service, next, now));
      moves = forwarding.serviceRollouts();
    }
    this.currentAt = currentAt;
    chooser.recordSteps(moves.values().stream().map(ServiceRolloutState::last).toList(), currentAt);
  }

  /** Leaves behind the endpoints that a move which has just ended has replaced. */
  private void retire(String service, ServiceRolloutState next, Instant now) {
    ServiceRolloutState before = moves.get(service);
    boolean justDone =
        before != null
            && !before.last().state().isFinal()
            && next.last().state() instanceof RolloutState.Done;
    if (justDone) {
      endpoints.findServing(service, now).stream()
          .filter(isOf(next.last().rollout().to()).negate())
          .forEach(entry -> retired.add(Retired.of(entry)));
    }
  }

  /**
   * Returns the endpoints among {@code open} that the request may go to.
   *
   * @param isCold tells endpoints that an unproven version is not yet judged by
   */
  List<Entry> choose(ForwardedCall call, List<Entry> open, Predicate<Entry> isCold, Instant now) {
    String service = call.service();
    known.hear(service, endpoints.findServing(service, now), now);
    List<Entry> usable =
        open.stream()
            .filter(entry -> known.isKnown(service, entry, currentAt))
            .filter(entry -> !retired.contains(Retired.of(entry)))
            .toList();
    ServiceRolloutState move = moves.get(service);
    return move == null ? usable : choose(call, move, usable, isCold, now);
  }

  private List<Entry> choose(
      ForwardedCall call,
      ServiceRolloutState move,
      List<Entry> usable,
      Predicate<Entry> isCold,
      Instant now) {
    RolloutProgress last = move.last();
    Predicate<Entry> isNew = isOf(last.rollout().to());
    List<Entry> allowed =
        usable.stream()
            .filter(entry -> !move.barred().contains(entry.announcement().version()))
            .toList();
    if (last.state() instanceof RolloutState.Done) {
      return allowed;
    }
    List<Entry> newer = allowed.stream().filter(isNew).filter(isCold.negate()).toList();
    boolean goesNew =
        !newer.isEmpty()
            && chooser.admitsNew(last.rollout().subject(), call.route().id(), ONE_REQUEST, now);
    return goesNew ? newer : allowed.stream().filter(isNew.negate()).toList();
  }

  /** Notes that an attempt of the request goes to the endpoint. */
  void sent(ForwardedCall call, Announcement target, Instant now) {
    ServiceRolloutState move = moves.get(call.service());
    if (move == null || move.last().state().isFinal()) {
      return;
    }
    attempts.put(call.id(), new Attempt(now));
    RolloutSubject subject = move.last().rollout().subject();
    chooser.recordAttemptStarted(
        call.id(), subject, call.route().id(), target.version(), ONE_REQUEST, now);
  }

  /** Notes that the body of the answer has begun. */
  void began(ForwardedCall call, Instant now) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null) {
      tellFirstToken(call.id(), attempt, now);
    }
  }

  private void tellFirstToken(RequestId id, Attempt attempt, Instant now) {
    if (!attempt.firstTokenTold && !attempt.failed) {
      attempt.firstTokenTold = true;
      chooser.recordFirstToken(id, Duration.between(attempt.sentAt, now), now);
    }
  }

  /** Notes the mean time between some events of the answer. */
  void eventsCame(ForwardedCall call, Duration pause, Instant now) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null && !attempt.gapTold) {
      attempt.gapTold = true;
      chooser.recordTokenGap(call.id(), pause, now);
    }
  }

  /** Notes that the endpoint answers with a failure of its own. */
  void failed(ForwardedCall call) {
    Attempt attempt = attempts.get(call.id());
    if (attempt != null) {
      attempt.failed = true;
    }
  }

  /** Notes that the whole answer has come. */
  void answered(ForwardedCall call, Instant now) {
    Attempt attempt = attempts.remove(call.id());
    if (attempt != null) {
      tellFirstToken(call.id(), attempt, now);
      chooser.recordAttemptEnded(call.id(), attempt.failed, now);
    }
  }

  /** Notes that the attempt has ended without a whole answer, unless it was {@link #answered}. */
  void ended(ForwardedCall call, boolean blamed, Instant now) {
    Attempt attempt = attempts.remove(call.id());
    if (attempt != null) {
      tellIfSlow(call.id(), attempt, now);
      chooser.recordAttemptEnded(call.id(), blamed || attempt.failed, now);
    }
  }

  /** Tells of a first token that is slow already, though it has not come. */
  private void tellIfSlow(RequestId id, Attempt attempt, Instant now) {
    if (chooser.isFirstTokenSlow(id, Duration.between(attempt.sentAt, now))) {
      tellFirstToken(id, attempt, now);
    }
  }

  /** Returns what to report to control, if that is due. */
  Optional<RolloutMessage.Report> report(HostId self, Predicate<Entry> isCold, Instant now) {
    for (Map.Entry<String, ServiceRolloutState> entry : moves.entrySet()) {
      RolloutProgress last = entry.getValue().last();
      long usable =
          endpoints.findServing(entry.getKey(), now).stream()
              .filter(isOf(last.rollout().to()))
              .filter(isCold.negate())
              .count();
      chooser.setNewEndpointCount(last.rollout().subject(), Math.toIntExact(usable));
    }
    return chooser.createReportIfDue(self, now);
  }

  /** Forgets what is not needed any more. */
  void tick(Instant now) {
    attempts.forEach((id, attempt) -> tellIfSlow(id, attempt, now));
    retired.removeIf(
        life -> endpoints.find(life.endpoint()).filter(e -> Retired.of(e).equals(life)).isEmpty());
    moves.keySet().forEach(s -> known.hear(s, endpoints.findServing(s, now), now));
  }

  private static Predicate<Entry> isOf(VersionId version) {
    return entry -> entry.announcement().version().equals(version);
  }
}
