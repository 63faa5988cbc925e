package org.cuminwell.core.control;

import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.distribution.GatewayStatus;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/**
 * Holds the state of the system as shown to operators, at one moment. Immutable and thread safe.
 *
 * @param self the control host that made this view
 * @param gateways the status of each known gateway
 * @param agreement this host's part in consensus
 */
public record ControlView(
    HostId self,
    Configuration configuration,
    List<Accepted> tickets,
    List<GatewayStatus> gateways,
    AgreementStatus agreement) {

  /** Copies the lists. */
  public ControlView {
    tickets = List.copyOf(tickets);
    gateways = List.copyOf(gateways);
  }

  /** Returns the number of gateways that have the revision, or a later one, in force. */
  public long countGatewaysAtRevision(Revision revision) {
    return gateways.stream()
        .filter(gateway -> !revision.isAfter(gateway.revisionInForce()))
        .count();
  }

  /**
   * Returns the highest revision that a gateway reports. It exceeds the revision of this view if
   * this host is behind.
   */
  public Revision highestGatewayRevision() {
    return gateways.stream()
        .map(GatewayStatus::revisionInForce)
        .max(Revision::compareTo)
        .orElse(Revision.ZERO);
  }
}
