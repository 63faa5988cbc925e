package org.cuminwell.core.rollout;

import java.util.List;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RouteId;

/** Carries version moves between control hosts and gateways. Immutable and thread safe. */
public sealed interface RolloutMessage {

  /** Tells the last recorded step of each move. */
  record Steps(List<RolloutProgress> moves) implements RolloutMessage {
    /** Copies the list. */
    public Steps {
      moves = List.copyOf(moves);
    }
  }

  /**
   * Tells what a gateway has seen.
   *
   * @param incarnation grows with each start of the gateway
   */
  record Report(HostId gateway, long incarnation, List<RouteReport> routes)
      implements RolloutMessage {
    /** Copies the list. */
    public Report {
      routes = List.copyOf(routes);
    }
  }

  /**
   * Tells what a gateway has seen of one move.
   *
   * @param step the step that it was seen in
   * @param newEndpoints how many endpoints of the new version the gateway knows
   * @param cut whether the gateway's own evidence made it stop sending to the new version
   */
  record RouteReport(
      RouteId route, long step, VersionEvidence seen, int newEndpoints, boolean cut) {}
}
