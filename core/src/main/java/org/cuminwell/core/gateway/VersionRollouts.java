package org.cuminwell.core.gateway;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.VersionChooser;

/**
 * Joins a gateway's requests to the choice and comparison of versions.
 *
 * <p>Not thread safe: the gateway's decide thread owns it.
 */
final class VersionRollouts {

  private final VersionChooser versions = new VersionChooser();

  void hear(List<RolloutProgress> moves, Instant now) {
    versions.recordSteps(moves, now);
  }

  /** Returns the candidates of the one version that the call may go to. */
  List<EndpointTable.Entry> choose(
      RunningCall call,
      ConfigurationIndex configuration,
      List<EndpointTable.Entry> candidates,
      Instant now) {
    RouteId route = call.route().id();
    Optional<RouteRollout> move =
        Optional.ofNullable(configuration.configuration().rollouts().get(route));
    return versions.selectVersion(route, move, candidates, call.estimatedTokens(), now);
  }

  void sent(RunningCall call, VersionId version, Instant now) {
    versions.recordAttemptStarted(
        call.id(), call.route().id(), version, call.estimatedTokens(), now);
  }

  void answerBegan(RequestId id, Instant now) {
    versions.recordResponseStarted(id, now);
  }

  void ended(RequestId id, AttemptOutcome attempt, Instant now) {
    switch (attempt) {
      case AttemptOutcome.Completed end ->
          versions.recordAttemptEnded(id, VersionChooser.AttemptResult.COMPLETED, end.usage(), now);
      case AttemptOutcome.CallerDisconnected end ->
          versions.recordAttemptEnded(
              id, VersionChooser.AttemptResult.INCONCLUSIVE, end.usage(), now);
      case AttemptOutcome.Failed end -> {
        boolean ownFault = end.failure().code() == ErrorCode.BUSY;
        VersionChooser.AttemptResult kind =
            ownFault
                ? VersionChooser.AttemptResult.INCONCLUSIVE
                : VersionChooser.AttemptResult.FAILED;
        versions.recordAttemptEnded(id, kind, end.usage(), now);
      }
    }
  }

  /** Returns what to report to control, if that is due. */
  Optional<RolloutMessage> report(
      HostId self, ConfigurationIndex configuration, EndpointTable endpoints, Instant now) {
    for (RouteRollout move : configuration.configuration().rollouts().values()) {
      configuration
          .route(move.route())
          .ifPresent(
              route ->
                  versions.setNewEndpointCount(route.id(), serving(route, move, endpoints, now)));
    }
    return versions.createReportIfDue(self, now).map(report -> report);
  }

  private static int serving(Route route, RouteRollout move, EndpointTable endpoints, Instant now) {
    return Math.toIntExact(
        endpoints.findServing(route.service().name(), now).stream()
            .filter(entry -> entry.announcement().version().equals(move.to()))
            .count());
  }
}
