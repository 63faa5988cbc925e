package org.cuminwell.core.control;

import org.cuminwell.core.idempotency.ClaimAnswer;
import org.cuminwell.core.idempotency.ClaimId;
import org.cuminwell.core.ticket.TicketAnswer;

/** Is the result of applying one command. Immutable and thread safe. */
public sealed interface Applied {

  /** Answers a {@link Command.AcceptTicket}. */
  record TicketAnswered(TicketAnswer answer) implements Applied {}

  /** Answers a {@link Command.ChangeClaim}. */
  record ClaimAnswered(ClaimId id, ClaimAnswer answer) implements Applied {}

  /** Answers a {@link Command.ReplaceConfiguration}: which version is in force now. */
  record ConfigurationReplaced(long version) implements Applied {}

  /** Answers a {@link Command.Evacuate}. */
  record Evacuated() implements Applied {}

  /** Answers a {@link Command.BeginRollout}. */
  record RolloutBegun() implements Applied {}

  /** Answers a {@link Command.AdvanceRollout}: whether the step was recorded. */
  record RolloutAdvanced(boolean recorded) implements Applied {}
}
