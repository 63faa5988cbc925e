package org.cuminwell.core.rollout;

import java.util.List;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.VersionId;

/** Carries the state of rollouts between control hosts and gateways. Immutable and thread safe. */
public sealed interface RolloutMessage {

  /** Lists the last recorded step of each rollout; sent by control hosts. */
  record Steps(List<RolloutProgress> latestSteps) implements RolloutMessage {
    /** Copies the list. */
    public Steps {
      latestSteps = List.copyOf(latestSteps);
    }
  }

  /**
   * Reports the evidence of a gateway to the control hosts.
   *
   * @param incarnation increases with each start of the gateway
   */
  record Report(HostId gateway, long incarnation, List<MoveReport> reports)
      implements RolloutMessage {
    /** Copies the list. */
    public Report {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Reports the evidence of a gateway on one rollout.
   *
   * @param to the version that traffic moves to
   * @param step the step since which the evidence counts
   * @param newEndpoints how many endpoints of the new version the gateway knows
   * @param hasStopped whether the gateway's own evidence made it stop sending to the new version
   */
  record MoveReport(
      RolloutSubject subject,
      VersionId to,
      long step,
      RolloutEvidence evidence,
      int newEndpoints,
      boolean hasStopped) {}
}
