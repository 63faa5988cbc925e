package org.cuminwell.core.gateway;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.VersionChooser;

/**
 * Joins a gateway's requests to the choice and comparison of versions.
 *
 * <p>Not thread safe: the gateway's decide thread owns it.
 */
final class VersionMoves {

  private final VersionChooser versions = new VersionChooser();

  void hear(List<RolloutProgress> moves, Instant now) {
    versions.hear(moves, now);
  }

  /** Returns the candidates of the one version that the call may go to. */
  List<EndpointTable.Entry> choose(
      RunningCall call,
      ConfigurationIndex configuration,
      List<EndpointTable.Entry> candidates,
      Instant now) {
    RouteId route = call.route().id();
    Optional<Rollout> move =
        Optional.ofNullable(configuration.configuration().rollouts().get(route));
    return versions.filter(route, move, candidates, call.estimate(), now);
  }

  void sent(RunningCall call, VersionId version, Instant now) {
    versions.sent(call.id(), call.route().id(), version, call.estimate(), now);
  }

  void answerBegan(RequestId id, Instant now) {
    versions.answerBegan(id, now);
  }

  void ended(RequestId id, AttemptEnd attempt, Instant now) {
    switch (attempt) {
      case AttemptEnd.Completed end ->
          versions.ended(id, VersionChooser.End.ANSWERED, end.usage(), now);
      case AttemptEnd.CallerLeft end ->
          versions.ended(id, VersionChooser.End.SAYS_NOTHING, end.used(), now);
      case AttemptEnd.Failed end -> {
        boolean ownFault = end.failure().code() == ErrorCode.BUSY;
        VersionChooser.End kind =
            ownFault ? VersionChooser.End.SAYS_NOTHING : VersionChooser.End.FAILED;
        versions.ended(id, kind, end.used(), now);
      }
    }
  }

  /** Returns what to report to control, if that is due. */
  Optional<RolloutMessage> report(
      HostId self, ConfigurationIndex configuration, EndpointTable endpoints, Instant now) {
    for (Rollout move : configuration.configuration().rollouts().values()) {
      configuration
          .route(move.route())
          .ifPresent(route -> versions.count(route.id(), serving(route, move, endpoints, now)));
    }
    return versions.report(self, now).map(report -> report);
  }

  private static int serving(Route route, Rollout move, EndpointTable endpoints, Instant now) {
    return Math.toIntExact(
        endpoints.serving(route.service().name(), now).stream()
            .filter(entry -> entry.announcement().version().equals(move.to()))
            .count());
  }
}
