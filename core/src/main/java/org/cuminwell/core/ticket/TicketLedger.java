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
 * Records the accepted ticket of each number, and the configuration that results from them.
 *
 * <p>Invariants: an accepted ticket keeps its number for good; each accepted ticket and each other
 * change creates exactly one revision. The result depends only on the sequence of calls, so
 * replicas that apply the same sequence hold equal ledgers. Not thread safe: one thread owns it.
 */
public final class TicketLedger {

  private final TreeMap<TicketNumber, Accepted> acceptedTickets = new TreeMap<>();
  private Configuration configuration = Configuration.EMPTY;

  /** Restores a ledger from its accepted tickets and the resulting configuration. */
  public static TicketLedger of(Configuration configuration, List<Accepted> accepted) {
    TicketLedger ledger = new TicketLedger();
    ledger.configuration = configuration;
    accepted.forEach(ticket -> ledger.acceptedTickets.put(ticket.ticket().number(), ticket));
    return ledger;
  }

  /** Applies a committed ticket and returns the answer to it. */
  public TicketAnswer apply(Ticket ticket, Instant now) {
    Optional<TicketAnswer> known = findAnswer(ticket);
    if (known.isPresent()) {
      return known.get();
    }
    List<ValidationError> errors = TicketValidator.validate(ticket, configuration, now);
    if (!errors.isEmpty()) {
      return new Refused(errors);
    }
    configuration = configuration.apply(configuration.revision().next(), ticket.change());
    Accepted answer = new Accepted(ticket, configuration.revision(), now);
    acceptedTickets.put(ticket.number(), answer);
    return answer;
  }

  /** Applies a change that is not made by a ticket, as the next revision. */
  public void applyChange(ConfigurationChange change) {
    configuration = configuration.apply(configuration.revision().next(), change);
  }

  /** Returns the answer to the ticket if its number is already taken. */
  public Optional<TicketAnswer> findAnswer(Ticket ticket) {
    Accepted winner = acceptedTickets.get(ticket.number());
    if (winner == null) {
      return Optional.empty();
    }
    return Optional.of(winner.ticket().equals(ticket) ? winner : new Conflict(winner));
  }

  /** Returns the ticket accepted under {@code number}. */
  public Optional<Accepted> find(TicketNumber number) {
    return Optional.ofNullable(acceptedTickets.get(number));
  }

  /** Returns every accepted ticket, ordered by number. */
  public List<Accepted> acceptedTickets() {
    return List.copyOf(acceptedTickets.values());
  }

  /** Returns the current configuration. */
  public Configuration configuration() {
    return configuration;
  }
}
