package org.cuminwell.core.control;

import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.directory.HostDescription;
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
    HostId self, Configuration configuration, List<Accepted> tickets, List<GatewayView> gateways) {

  /** Copies the lists. */
  public ControlView {
    tickets = List.copyOf(tickets);
    gateways = List.copyOf(gateways);
  }

  /**
   * Shows one gateway. Immutable and thread safe.
   *
   * @param held the revision that it has in force
   * @param connected whether it is in contact now
   */
  public record GatewayView(HostDescription host, Revision held, boolean connected) {}

  /** Returns how many gateways have the revision in force. */
  public long inForceAt(Revision revision) {
    return gateways.stream().filter(gateway -> !revision.isAfter(gateway.held())).count();
  }
}
