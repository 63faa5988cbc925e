package org.cuminwell.core.control;

import java.util.List;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.idempotency.ClaimRegistry;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/**
 * Holds the whole replicated state at one index of the log. Immutable and thread safe.
 *
 * @param tickets every accepted ticket in the order of numbers
 * @param document the configuration of the highest version, as it was submitted
 * @param rollouts the last step of the last version rollout of each route
 */
public record StateSnapshot(
    Configuration configuration,
    List<Accepted> tickets,
    ClaimRegistry.Snapshot claims,
    List<RolloutProgress> rollouts,
    ConfigurationDocument document) {

  /** Copies the lists. */
  public StateSnapshot {
    tickets = List.copyOf(tickets);
    rollouts = List.copyOf(rollouts);
  }
}
