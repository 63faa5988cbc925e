package org.cuminwell.core.rollout;

import java.util.List;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.VersionId;

/** Carries version rollouts between control hosts and gateways. Immutable and thread safe. */
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
  record Report(HostId gateway, long incarnation, List<MoveReport> moves)
      implements RolloutMessage {
    /** Copies the list. */
    public Report {
      moves = List.copyOf(moves);
    }
  }

  /**
   * Tells what a gateway has seen of one move.
   *
   * @param to the version that is moved to
   * @param step the step since which it was seen
   * @param newEndpoints how many endpoints of the new version the gateway knows
   * @param cut whether the gateway's own evidence made it stop sending to the new version
   */
  record MoveReport(
      RolloutSubject subject,
      VersionId to,
      long step,
      RolloutEvidence seen,
      int newEndpoints,
      boolean cut) {}
}
