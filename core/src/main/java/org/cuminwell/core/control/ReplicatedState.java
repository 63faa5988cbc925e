package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.idempotency.ClaimBook;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutBook;
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
  private ClaimBook claims = new ClaimBook();
  private RolloutBook moves = new RolloutBook();

  /**
   * Applies the next command of the log.
   *
   * @param at the time at which the leader proposed it, which the log carries
   */
  public Applied apply(Command command, Instant at) {
    return switch (command) {
      case Command.AcceptTicket c -> new Applied.TicketAnswered(ledger.apply(c.ticket(), at));
      case Command.ChangeClaim c ->
          new Applied.ClaimAnswered(c.change().id(), claims.apply(c.change(), at));
      case Command.AdvanceRollout c ->
          new Applied.RolloutAdvanced(isConfigured(c.advance()) && moves.apply(c.advance(), at));
    };
  }

  /** Returns the whole state. */
  public StateSnapshot snapshot() {
    return new StateSnapshot(ledger.configuration(), ledger.all(), claims.snapshot(), moves.all());
  }

  /** Replaces the whole state by a later one. */
  public void restore(StateSnapshot snapshot) {
    ledger = TicketLedger.of(snapshot.configuration(), snapshot.tickets());
    claims = new ClaimBook(snapshot.claims());
    moves = new RolloutBook(snapshot.moves());
  }

  /** Returns the tickets accepted so far. */
  public TicketLedger ledger() {
    return ledger;
  }

  /** Returns the configuration after the last applied command. */
  public Configuration configuration() {
    return ledger.configuration();
  }

  /** Returns the recorded steps of version moves. */
  public RolloutBook moves() {
    return moves;
  }

  /** Returns whether the move is the one that the last ticket asked for. */
  private boolean isConfigured(RolloutAdvance advance) {
    Rollout rollout = advance.rollout();
    return rollout.equals(configuration().rollouts().get(rollout.route()));
  }
}
