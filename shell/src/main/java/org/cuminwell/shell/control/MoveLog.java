package org.cuminwell.shell.control;

import java.util.Map;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.ServiceRolloutState;

/**
 * Writes down each recorded step of a service's version rollout.
 *
 * <p>Not thread safe: the dispatch thread of a {@link ControlProcess} owns it.
 */
final class MoveLog {

  private static final System.Logger LOG = System.getLogger(MoveLog.class.getName());

  private Map<String, ServiceRolloutState> written = Map.of();

  /** Writes what has changed since the last call. */
  void show(Configuration configuration) {
    Map<String, ServiceRolloutState> serviceRollouts = configuration.forwarding().serviceRollouts();
    serviceRollouts.forEach(
        (service, move) -> {
          if (!move.equals(written.get(service))) {
            write(service, move.last());
          }
        });
    written = serviceRollouts;
  }

  private static void write(String service, RolloutProgress last) {
    LOG.log(
        System.Logger.Level.INFO,
        "rollout of {0} to {1}, step {2}: {3}",
        service,
        last.rollout().to(),
        last.step(),
        last.state());
  }
}
