package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.ticket.TicketLedger;

/**
 * Holds the state that all control hosts agree on.
 *
 * <p>Invariant: the state is a function of the commands applied and their times alone, so that
 * replicas that have applied the same prefix of the log are equal. Nothing may change it but {@link
 * #apply} and {@link #restore}. Not thread safe: one thread owns it.
 */
public final class ReplicatedState {

  private TicketLedger ledger = new TicketLedger();

  /**
   * Applies the next command of the log.
   *
   * @param at the time at which the leader proposed it, which the log carries
   */
  public Applied apply(Command command, Instant at) {
    return switch (command) {
      case Command.AcceptTicket c -> new Applied.TicketAnswered(ledger.apply(c.ticket(), at));
    };
  }

  /** Returns the whole state. */
  public StateSnapshot snapshot() {
    return new StateSnapshot(ledger.configuration(), ledger.all());
  }

  /** Replaces the whole state by a later one. */
  public void restore(StateSnapshot snapshot) {
    ledger = TicketLedger.of(snapshot.configuration(), snapshot.tickets());
  }

  /** Returns the tickets accepted so far. */
  public TicketLedger ledger() {
    return ledger;
  }

  /** Returns the configuration after the last applied command. */
  public Configuration configuration() {
    return ledger.configuration();
  }
}
