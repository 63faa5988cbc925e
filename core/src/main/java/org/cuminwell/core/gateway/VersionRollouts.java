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
 * Selects the version for each call of a gateway during rollouts, and records how the versions
 * perform.
 *
 * <p>Not thread safe: the gateway's decide thread owns it.
 */
final class VersionRollouts {

  private final VersionChooser chooser = new VersionChooser();

  void recordSteps(List<RolloutProgress> steps, Instant now) {
    chooser.recordSteps(steps, now);
  }

  /** Returns the candidates of the one version that the call may go to. */
  List<EndpointTable.Entry> selectVersion(
      RunningCall call,
      ConfigurationIndex configuration,
      List<EndpointTable.Entry> candidates,
      Instant now) {
    RouteId route = call.route().id();
    Optional<RouteRollout> rollout =
        Optional.ofNullable(configuration.configuration().rollouts().get(route));
    return chooser.selectVersion(route, rollout, candidates, call.estimatedTokens(), now);
  }

  void recordAttemptStarted(RunningCall call, VersionId version, Instant now) {
    chooser.recordAttemptStarted(
        call.id(), call.route().id(), version, call.estimatedTokens(), now);
  }

  void recordResponseStarted(RequestId id, Instant now) {
    chooser.recordResponseStarted(id, now);
  }

  void recordAttemptEnded(RequestId id, AttemptOutcome outcome, Instant now) {
    switch (outcome) {
      case AttemptOutcome.Completed end ->
          chooser.recordAttemptEnded(id, VersionChooser.AttemptResult.COMPLETED, end.usage(), now);
      case AttemptOutcome.CallerDisconnected end ->
          chooser.recordAttemptEnded(
              id, VersionChooser.AttemptResult.INCONCLUSIVE, end.usage(), now);
      case AttemptOutcome.Failed end -> {
        boolean isBusy = end.failure().code() == ErrorCode.BUSY;
        VersionChooser.AttemptResult kind =
            isBusy
                ? VersionChooser.AttemptResult.INCONCLUSIVE
                : VersionChooser.AttemptResult.FAILED;
        chooser.recordAttemptEnded(id, kind, end.usage(), now);
      }
    }
  }

  /** Returns a report for the control hosts if one is due. */
  Optional<RolloutMessage> createReportIfDue(
      HostId self, ConfigurationIndex configuration, EndpointTable endpoints, Instant now) {
    for (RouteRollout rollout : configuration.configuration().rollouts().values()) {
      configuration
          .route(rollout.route())
          .ifPresent(
              route ->
                  chooser.setNewEndpointCount(
                      route.id(), countServing(route, rollout, endpoints, now)));
    }
    return chooser.createReportIfDue(self, now).map(report -> report);
  }

  private static int countServing(
      Route route, RouteRollout rollout, EndpointTable endpoints, Instant now) {
    return Math.toIntExact(
        endpoints.findServing(route.service().name(), now).stream()
            .filter(entry -> entry.announcement().version().equals(rollout.to()))
            .count());
  }
}
