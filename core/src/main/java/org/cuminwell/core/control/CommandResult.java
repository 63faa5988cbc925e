package org.cuminwell.core.control;

import org.cuminwell.core.idempotency.ClaimAnswer;
import org.cuminwell.core.idempotency.ClaimId;
import org.cuminwell.core.ticket.TicketAnswer;

/**
 * Represents the result of applying one command to the replicated state. Immutable and thread safe.
 */
public sealed interface CommandResult {

  /** Holds the result of {@link Command.AcceptTicket}. */
  record TicketAnswered(TicketAnswer answer) implements CommandResult {}

  /** Holds the result of {@link Command.ChangeClaim}. */
  record ClaimAnswered(ClaimId id, ClaimAnswer answer) implements CommandResult {}

  /**
   * Holds the result of {@link Command.ReplaceConfiguration}: the version of the document now in
   * force.
   */
  record ConfigurationReplaced(long version) implements CommandResult {}

  /** Reports that the state is as the order of a {@link Command.CarryOut} asks. */
  record OrderCarriedOut() implements CommandResult {}

  /**
   * Reports that another order came before that of a {@link Command.CarryOut}, which had no effect.
   */
  record OrderOvertaken() implements CommandResult {}

  /** Holds the result of {@link Command.ChangeDuty}: whether it had an effect. */
  record DutyChanged(boolean effective) implements CommandResult {}

  /** Holds the result of {@link Command.AdvanceRollout}: whether the step was recorded. */
  record RolloutAdvanced(boolean recorded) implements CommandResult {}
}
