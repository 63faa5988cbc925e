package org.cuminwell.shell.control;

import java.util.Map;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.ServiceRolloutState;

/**
 * Logs the latest progress of each service's version rollout whenever it changes.
 *
 * <p>Not thread safe: the dispatch thread of a {@link ControlProcess} owns it.
 */
final class MoveLog {

  private static final System.Logger LOG = System.getLogger(MoveLog.class.getName());

  private Map<String, ServiceRolloutState> logged = Map.of();

  /** Logs the rollouts that have changed since the last call. */
  void logChanges(Configuration configuration) {
    Map<String, ServiceRolloutState> serviceRollouts = configuration.forwarding().serviceRollouts();
    serviceRollouts.forEach(
        (service, rolloutState) -> {
          if (!rolloutState.equals(logged.get(service))) {
            logProgress(service, rolloutState.last());
          }
        });
    logged = serviceRollouts;
  }

  private static void logProgress(String service, RolloutProgress progress) {
    LOG.log(
        System.Logger.Level.INFO,
        "rollout of {0} to {1}, step {2}: {3}",
        service,
        progress.rollout().to(),
        progress.step(),
        progress.state());
  }
}
