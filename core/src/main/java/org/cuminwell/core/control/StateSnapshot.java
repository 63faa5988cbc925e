package org.cuminwell.core.control;

import java.util.List;
import java.util.Map;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.duty.DutySnapshot;
import org.cuminwell.core.idempotency.ClaimRegistry;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/**
 * Holds a snapshot of the whole replicated state at one log index. Immutable and thread safe.
 *
 * @param tickets every accepted ticket, ordered by number
 * @param document the submitted configuration with the highest version
 * @param orderCounts the number of orders that were carried out on each subject
 * @param duties who holds the duties, and the usage reports that are fixed
 * @param rollouts the last step of the last rollout of each route
 */
public record StateSnapshot(
    Configuration configuration,
    List<Accepted> tickets,
    ClaimRegistry.Snapshot claims,
    List<RolloutProgress> rollouts,
    ConfigurationDocument document,
    Map<OrderSubject, Long> orderCounts,
    DutySnapshot duties) {

  /** Copies the lists and the map. */
  public StateSnapshot {
    tickets = List.copyOf(tickets);
    rollouts = List.copyOf(rollouts);
    orderCounts = Map.copyOf(orderCounts);
  }
}
