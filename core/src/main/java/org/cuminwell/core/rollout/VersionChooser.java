package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Usage;
import org.cuminwell.core.model.VersionId;

/**
 * Chooses the version that a request goes to, and watches how the versions do.
 *
 * <p>A move that is configured but of which no step is known counts as starting, so its new version
 * gets nothing. Not thread safe: one thread owns it.
 */
public final class VersionChooser {

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  private final Map<RolloutSubject, LocalGuard> guards = new HashMap<>();
  private final Map<RequestId, Sent> sent = new HashMap<>();
  private final Map<RolloutSubject, Integer> newEndpoints = new HashMap<>();
  private Instant reportedAt = Instant.MIN;
  private long incarnation;

  private record Sent(
      RolloutSubject subject,
      RouteId route,
      VersionId version,
      long tokens,
      Instant sentAt,
      Optional<Instant> firstAt) {}

  /** Takes in the recorded steps. */
  public void recordSteps(List<RolloutProgress> news, Instant now) {
    for (RolloutProgress move : news) {
      LocalGuard guard = guards.get(move.rollout().subject());
      if (guard == null || !guard.rollout().equals(move.rollout())) {
        guards.put(move.rollout().subject(), new LocalGuard(move, now));
      } else {
        guard.hear(move, now);
      }
    }
  }

  /** Notes how many endpoints of the new version serve the route. */
  public void setNewEndpointCount(RouteId route, int endpoints) {
    setNewEndpointCount(new RolloutSubject.OfRoute(route), endpoints);
  }

  /** Notes how many endpoints of the new version serve what is moved. */
  public void setNewEndpointCount(RolloutSubject subject, int endpoints) {
    newEndpoints.put(subject, endpoints);
  }

  /**
   * Returns whether a request of the route may go to the new version of what is moved.
   *
   * @param tokens the estimate of the request
   */
  public boolean admitsNew(RolloutSubject subject, RouteId route, long tokens, Instant now) {
    LocalGuard guard = guards.get(subject);
    return guard != null && guard.admitsNew(route, tokens, now);
  }

  /**
   * Returns the candidates of the one version that the request may go to.
   *
   * @param configured the move that the configuration names for the route
   * @param tokens the estimate of the request
   */
  public List<Entry> selectVersion(
      RouteId route,
      Optional<RouteRollout> configured,
      List<Entry> candidates,
      long tokens,
      Instant now) {
    if (configured.isEmpty()) {
      return candidates;
    }
    RouteRollout routeRollout = configured.get();
    List<Entry> newer = ofVersion(candidates, routeRollout.to(), true);
    List<Entry> others = ofVersion(candidates, routeRollout.to(), false);
    LocalGuard guard = guards.get(routeRollout.subject());
    if (guard == null || !guard.rollout().equals(routeRollout)) {
      return others;
    }
    if (guard.progress().state() instanceof RolloutState.Done) {
      return newer;
    }
    return !newer.isEmpty() && guard.admitsNew(route, tokens, now) ? newer : others;
  }

  /** Says how an attempt ended, as far as it tells of the version. */
  public enum End {
    /** The whole answer came. */
    ANSWERED,
    /** The endpoint gave no whole answer. */
    FAILED,
    /** The end says nothing of the version, as when the caller left. */
    SAYS_NOTHING
  }

  /** Notes that an attempt of the request goes to the version. */
  public void recordAttemptStarted(
      RequestId request, RouteId route, VersionId version, long tokens, Instant now) {
    recordAttemptStarted(request, new RolloutSubject.OfRoute(route), route, version, tokens, now);
  }

  /** Notes that an attempt of the request goes to the version of what is moved. */
  public void recordAttemptStarted(
      RequestId request,
      RolloutSubject subject,
      RouteId route,
      VersionId version,
      long tokens,
      Instant now) {
    LocalGuard guard = guards.get(subject);
    if (guard != null) {
      guard.sent(route, version, tokens);
      sent.put(request, new Sent(subject, route, version, tokens, now, Optional.empty()));
    }
  }

  /** Notes that the first part of the answer has come. */
  public void recordResponseStarted(RequestId request, Instant now) {
    sent.computeIfPresent(
        request,
        (_, s) ->
            new Sent(
                s.subject(), s.route(), s.version(), s.tokens(), s.sentAt(), Optional.of(now)));
  }

  /** Notes how the attempt of the request ended. */
  public void recordAttemptEnded(RequestId request, End end, Usage used, Instant now) {
    Sent attempt = sent.remove(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt == null || guard == null) {
      return;
    }
    guard.settle(attempt.version(), attempt.tokens(), used.total(), now);
    switch (end) {
      case ANSWERED ->
          guard.compare(attempt.route(), attempt.version(), answered(attempt, used, now), now);
      case FAILED -> guard.compare(attempt.route(), attempt.version(), RequestResult.FAILED, now);
      case SAYS_NOTHING -> {}
    }
  }

  /** Notes the time to the first token of a request whose attempt runs. */
  public void recordFirstToken(RequestId request, Duration time, Instant now) {
    Sent attempt = sent.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.compareFirstToken(attempt.route(), attempt.version(), time, now);
    }
  }

  /** Notes the time between tokens of a request whose attempt runs. */
  public void recordTokenGap(RequestId request, Duration gap, Instant now) {
    Sent attempt = sent.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.compareTokenGap(attempt.route(), attempt.version(), gap, now);
    }
  }

  /** Returns whether the running attempt has waited long enough for its first token to be slow. */
  public boolean isFirstTokenSlow(RequestId request, Duration waited) {
    Sent attempt = sent.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    return attempt != null && guard != null && guard.isSlow(attempt.route(), waited);
  }

  /** Notes the end of the attempt of a request that was charged its estimate. */
  public void recordAttemptEnded(RequestId request, boolean failed, Instant now) {
    Sent attempt = sent.remove(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.settle(attempt.version(), attempt.tokens(), attempt.tokens(), now);
      guard.compareEnd(attempt.route(), attempt.version(), failed, now);
    }
  }

  private static RequestResult answered(Sent attempt, Usage used, Instant now) {
    long tokens = used.completionTokens();
    if (tokens == 0) {
      return new RequestResult(
          false, Optional.of(Duration.between(attempt.sentAt(), now)), Optional.empty());
    }
    Instant from = attempt.firstAt().orElse(attempt.sentAt());
    return new RequestResult(
        false,
        attempt.firstAt().map(first -> Duration.between(attempt.sentAt(), first)),
        Optional.of(Duration.between(from, now).dividedBy(tokens)));
  }

  /** Returns a report for control when one is due. */
  public Optional<RolloutMessage.Report> createReportIfDue(HostId self, Instant now) {
    if (guards.isEmpty() || now.isBefore(nextReport())) {
      return Optional.empty();
    }
    if (incarnation == 0) {
      incarnation = now.toEpochMilli();
    }
    reportedAt = now;
    List<RolloutMessage.MoveReport> moves =
        guards.values().stream()
            .filter(guard -> !guard.progress().state().isFinal())
            .map(
                guard ->
                    new RolloutMessage.MoveReport(
                        guard.rollout().subject(),
                        guard.rollout().to(),
                        guard.progress().evidenceStep(),
                        guard.seen(),
                        newEndpoints.getOrDefault(guard.rollout().subject(), 0),
                        guard.isCut()))
            .toList();
    return moves.isEmpty()
        ? Optional.empty()
        : Optional.of(new RolloutMessage.Report(self, incarnation, moves));
  }

  private Instant nextReport() {
    return reportedAt.equals(Instant.MIN) ? reportedAt : reportedAt.plus(REPORT_PERIOD);
  }

  private static List<Entry> ofVersion(List<Entry> entries, VersionId version, boolean equal) {
    return entries.stream()
        .filter(entry -> entry.announcement().version().equals(version) == equal)
        .toList();
  }
}
