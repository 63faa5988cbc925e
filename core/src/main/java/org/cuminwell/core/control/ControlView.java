package org.cuminwell.core.control;

import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.distribution.GatewayStatus;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/**
 * Shows operators the state of the system at one moment. Immutable and thread safe.
 *
 * @param self the control host that shows this
 * @param gateways what is known of each gateway
 */
public record ControlView(
    HostId self,
    Configuration configuration,
    List<Accepted> tickets,
    List<GatewayStatus> gateways) {

  /** Copies the lists. */
  public ControlView {
    tickets = List.copyOf(tickets);
    gateways = List.copyOf(gateways);
  }

  /** Returns how many gateways have the revision in force. */
  public long countGatewaysAtRevision(Revision revision) {
    return gateways.stream()
        .filter(gateway -> !revision.isAfter(gateway.revisionInForce()))
        .count();
  }

  /** Returns the greatest revision that any gateway has told of; above the own one if behind. */
  public Revision highestGatewayRevision() {
    return gateways.stream()
        .map(GatewayStatus::revisionInForce)
        .max(Revision::compareTo)
        .orElse(Revision.ZERO);
  }
}
