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
 * #apply}. Not thread safe: one thread owns it.
 */
public final class ReplicatedState {

  private final TicketLedger ledger;
  private final ClaimBook claims = new ClaimBook();
  private final RolloutBook moves = new RolloutBook();

  /** Makes the state before any command. */
  public ReplicatedState() {
    this(new TicketLedger());
  }

  /** Makes the state with the given tickets. */
  ReplicatedState(TicketLedger ledger) {
    this.ledger = ledger;
  }

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
