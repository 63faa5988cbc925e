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
 * Selects the version that a request goes to, and records how both versions perform.
 *
 * <p>A configured rollout without a known step counts as starting, so its new version gets no
 * requests. Not thread safe: one thread owns it.
 */
public final class VersionChooser {

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

  private final Map<RolloutSubject, LocalGuard> guards = new HashMap<>();
  private final Map<RequestId, Attempt> attempts = new HashMap<>();
  private final Map<RolloutSubject, Integer> newEndpoints = new HashMap<>();
  private Instant reportedAt = Instant.MIN;
  private long incarnation;

  private record Attempt(
      RolloutSubject subject,
      RouteId route,
      VersionId version,
      long estimatedTokens,
      Instant sentAt,
      Optional<Instant> responseStartedAt) {}

  /** Updates the rollouts from the steps that control has recorded. */
  public void recordSteps(List<RolloutProgress> steps, Instant now) {
    for (RolloutProgress step : steps) {
      LocalGuard guard = guards.get(step.rollout().subject());
      if (guard == null || !guard.rollout().equals(step.rollout())) {
        guards.put(step.rollout().subject(), new LocalGuard(step, now));
      } else {
        guard.update(step, now);
      }
    }
  }

  /** Sets how many endpoints of the new version serve the route. */
  public void setNewEndpointCount(RouteId route, int endpoints) {
    setNewEndpointCount(new RolloutSubject.OfRoute(route), endpoints);
  }

  /** Sets how many endpoints of the new version serve the route or service. */
  public void setNewEndpointCount(RolloutSubject subject, int endpoints) {
    newEndpoints.put(subject, endpoints);
  }

  /**
   * Returns whether a request of the route may go to the new version of the subject.
   *
   * @param estimatedTokens the estimated tokens of the request
   */
  public boolean admitsNew(
      RolloutSubject subject, RouteId route, long estimatedTokens, Instant now) {
    LocalGuard guard = guards.get(subject);
    return guard != null && guard.admitsNew(route, estimatedTokens, now);
  }

  /**
   * Returns the candidates of the one version that the request may go to.
   *
   * @param configured the rollout that the configuration holds for the route
   * @param estimatedTokens the estimated tokens of the request
   */
  public List<Entry> selectVersion(
      RouteId route,
      Optional<RouteRollout> configured,
      List<Entry> candidates,
      long estimatedTokens,
      Instant now) {
    if (configured.isEmpty()) {
      return candidates;
    }
    RouteRollout rollout = configured.get();
    List<Entry> ofNewVersion = ofVersion(candidates, rollout.to(), true);
    List<Entry> ofOtherVersions = ofVersion(candidates, rollout.to(), false);
    LocalGuard guard = guards.get(rollout.subject());
    if (guard == null || !guard.rollout().equals(rollout)) {
      return ofOtherVersions;
    }
    if (guard.progress().state() instanceof RolloutState.Done) {
      return ofNewVersion;
    }
    return !ofNewVersion.isEmpty() && guard.admitsNew(route, estimatedTokens, now)
        ? ofNewVersion
        : ofOtherVersions;
  }

  /** Describes how an attempt ended, as evidence on its version. */
  public enum AttemptResult {
    /** The complete response arrived. */
    COMPLETED,
    /** The endpoint gave no complete response. */
    FAILED,
    /** The end says nothing about the version, for example because the caller disconnected. */
    INCONCLUSIVE
  }

  /** Records that an attempt of the request was sent to an endpoint of the version. */
  public void recordAttemptStarted(
      RequestId request, RouteId route, VersionId version, long estimatedTokens, Instant now) {
    recordAttemptStarted(
        request, new RolloutSubject.OfRoute(route), route, version, estimatedTokens, now);
  }

  /**
   * Records that an attempt of the request was sent to an endpoint of the version, during a rollout
   * of the subject.
   */
  public void recordAttemptStarted(
      RequestId request,
      RolloutSubject subject,
      RouteId route,
      VersionId version,
      long estimatedTokens,
      Instant now) {
    LocalGuard guard = guards.get(subject);
    if (guard != null) {
      guard.recordSent(route, version, estimatedTokens);
      attempts.put(
          request, new Attempt(subject, route, version, estimatedTokens, now, Optional.empty()));
    }
  }

  /** Records that the first part of the response has arrived. */
  public void recordResponseStarted(RequestId request, Instant now) {
    attempts.computeIfPresent(
        request,
        (_, attempt) ->
            new Attempt(
                attempt.subject(),
                attempt.route(),
                attempt.version(),
                attempt.estimatedTokens(),
                attempt.sentAt(),
                Optional.of(now)));
  }

  /** Records how the attempt of the request ended and which tokens it used. */
  public void recordAttemptEnded(RequestId request, AttemptResult result, Usage used, Instant now) {
    Attempt attempt = attempts.remove(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt == null || guard == null) {
      return;
    }
    guard.settle(attempt.version(), attempt.estimatedTokens(), used.total(), now);
    switch (result) {
      case COMPLETED ->
          guard.recordResult(attempt.route(), attempt.version(), toResult(attempt, used, now), now);
      case FAILED ->
          guard.recordResult(attempt.route(), attempt.version(), RequestResult.FAILED, now);
      case INCONCLUSIVE -> {}
    }
  }

  /** Records the time to the first token of a request whose attempt is running. */
  public void recordFirstToken(RequestId request, Duration time, Instant now) {
    Attempt attempt = attempts.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.recordFirstToken(attempt.route(), attempt.version(), time, now);
    }
  }

  /** Records the time between tokens of a request whose attempt is running. */
  public void recordTokenGap(RequestId request, Duration gap, Instant now) {
    Attempt attempt = attempts.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.recordTokenGap(attempt.route(), attempt.version(), gap, now);
    }
  }

  /** Returns whether a first token that has not arrived after {@code waited} is slow. */
  public boolean isFirstTokenSlow(RequestId request, Duration waited) {
    Attempt attempt = attempts.get(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    return attempt != null && guard != null && guard.isFirstTokenSlow(attempt.route(), waited);
  }

  /** Records the end of an attempt that is charged exactly its estimate. */
  public void recordAttemptEnded(RequestId request, boolean failed, Instant now) {
    Attempt attempt = attempts.remove(request);
    LocalGuard guard = attempt == null ? null : guards.get(attempt.subject());
    if (attempt != null && guard != null) {
      guard.settle(attempt.version(), attempt.estimatedTokens(), attempt.estimatedTokens(), now);
      guard.recordEnd(attempt.route(), attempt.version(), failed, now);
    }
  }

  private static RequestResult toResult(Attempt attempt, Usage used, Instant now) {
    long tokens = used.completionTokens();
    if (tokens == 0) {
      return new RequestResult(
          false, Optional.of(Duration.between(attempt.sentAt(), now)), Optional.empty());
    }
    Instant from = attempt.responseStartedAt().orElse(attempt.sentAt());
    return new RequestResult(
        false,
        attempt.responseStartedAt().map(first -> Duration.between(attempt.sentAt(), first)),
        Optional.of(Duration.between(from, now).dividedBy(tokens)));
  }

  /** Returns a report for the control hosts if one is due, and starts the next period. */
  public Optional<RolloutMessage.Report> createReportIfDue(HostId self, Instant now) {
    if (guards.isEmpty() || now.isBefore(nextReportAt())) {
      return Optional.empty();
    }
    if (incarnation == 0) {
      incarnation = now.toEpochMilli();
    }
    reportedAt = now;
    List<RolloutMessage.MoveReport> reports =
        guards.values().stream()
            .filter(guard -> !guard.progress().state().isFinal())
            .map(
                guard ->
                    new RolloutMessage.MoveReport(
                        guard.rollout().subject(),
                        guard.rollout().to(),
                        guard.progress().evidenceStep(),
                        guard.evidence(),
                        newEndpoints.getOrDefault(guard.rollout().subject(), 0),
                        guard.hasStopped()))
            .toList();
    return reports.isEmpty()
        ? Optional.empty()
        : Optional.of(new RolloutMessage.Report(self, incarnation, reports));
  }

  private Instant nextReportAt() {
    return reportedAt.equals(Instant.MIN) ? reportedAt : reportedAt.plus(REPORT_PERIOD);
  }

  private static List<Entry> ofVersion(List<Entry> entries, VersionId version, boolean equal) {
    return entries.stream()
        .filter(entry -> entry.announcement().version().equals(version) == equal)
        .toList();
  }
}
