package org.cuminwell.core.ticket;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;
import org.cuminwell.core.ticket.TicketAnswer.Conflict;
import org.cuminwell.core.ticket.TicketAnswer.Refused;

/**
 * Keeps what stands under each ticket number and the configuration that the tickets have made.
 *
 * <p>Invariants: a number once accepted keeps its ticket; each accepted ticket, and each change
 * beside them, makes exactly one revision. The outcome depends only on the order of calls, so that
 * all replicas that apply the same tickets hold the same ledger. Not thread safe: one thread owns
 * it.
 */
public final class TicketLedger {

  private final TreeMap<TicketNumber, Accepted> accepted = new TreeMap<>();
  private Configuration configuration = Configuration.EMPTY;

  /** Returns a ledger in which the tickets are accepted and have made the configuration. */
  public static TicketLedger of(Configuration configuration, List<Accepted> accepted) {
    TicketLedger ledger = new TicketLedger();
    ledger.configuration = configuration;
    accepted.forEach(ticket -> ledger.accepted.put(ticket.ticket().number(), ticket));
    return ledger;
  }

  /** Applies a ticket that has its place in the order, and returns its answer. */
  public TicketAnswer apply(Ticket ticket, Instant now) {
    Optional<TicketAnswer> known = known(ticket);
    if (known.isPresent()) {
      return known.get();
    }
    List<ValidationError> errors = TicketCheck.faults(ticket, configuration, now);
    if (!errors.isEmpty()) {
      return new Refused(errors);
    }
    configuration = configuration.apply(configuration.revision().next(), ticket.change());
    Accepted answer = new Accepted(ticket, configuration.revision(), now);
    accepted.put(ticket.number(), answer);
    return answer;
  }

  /** Puts a change in force that no ticket asks for, as the next revision. */
  public void change(ConfigurationChange change) {
    configuration = configuration.apply(configuration.revision().next(), change);
  }

  /** Returns the answer that the number has already, for this ticket. */
  public Optional<TicketAnswer> known(Ticket ticket) {
    Accepted winner = accepted.get(ticket.number());
    if (winner == null) {
      return Optional.empty();
    }
    return Optional.of(winner.ticket().equals(ticket) ? winner : new Conflict(winner));
  }

  /** Returns the ticket that stands under {@code number}. */
  public Optional<Accepted> find(TicketNumber number) {
    return Optional.ofNullable(accepted.get(number));
  }

  /** Returns every accepted ticket in the order of numbers. */
  public List<Accepted> all() {
    return List.copyOf(accepted.values());
  }

  /** Returns the configuration after the last applied ticket. */
  public Configuration configuration() {
    return configuration;
  }
}
