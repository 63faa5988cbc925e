package org.cuminwell.core.control;

import java.time.Duration;
import java.util.OptionalLong;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.config.ConfigurationSize;
import org.cuminwell.core.duty.DutyChange;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.ClaimChange;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.ticket.Ticket;

/**
 * Represents a command that changes the replicated state.
 *
 * <p>A command takes effect when it is committed and applied. Immutable and thread safe.
 */
public sealed interface Command {

  /** The timeout for the outcome of a submitted command that is not an operator's order. */
  Duration OUTCOME_TIMEOUT = Duration.ofSeconds(6);

  /** The estimated memory of a command without parts of unbounded size, in bytes. */
  long SMALL_COMMAND_BYTES = 1_024;

  /** The estimated memory of a claim's change with the largest response that is kept, in bytes. */
  long MAX_CLAIM_BYTES = SMALL_COMMAND_BYTES + CallOutcome.MAX_BODY_BYTES;

  /** Puts a ticket in force under its number. */
  record AcceptTicket(Ticket ticket) implements Command {}

  /** Changes the claim on an idempotency key. */
  record ChangeClaim(ClaimChange change) implements Command {}

  /** Records the next step of a rollout. */
  record AdvanceRollout(RolloutAdvance advance) implements Command {}

  /**
   * Puts a whole configuration in force unless a document with an equal or higher version already
   * is.
   */
  record ReplaceConfiguration(ConfigurationDocument document, Configuration content)
      implements Command {}

  /**
   * Carries out an operator's order, unless another order on its subject has come in between.
   *
   * @param basis the number of orders on the subject that were carried out as far as the host knew
   *     that took the order up; empty in journals of builds that did not count them, which carry
   *     out the order in any case
   */
  record CarryOut(OperatorOrder order, OptionalLong basis) implements Command {}

  /** Changes who holds a duty, or what its holder has reported. */
  record ChangeDuty(DutyChange change) implements Command {}

  /** Returns the estimated memory of the command, in bytes. */
  default long bytes() {
    return switch (this) {
      case AcceptTicket c -> ConfigurationSize.bytesOf(c.ticket().change());
      case ReplaceConfiguration c ->
          c.document().text().length() + ConfigurationSize.bytesOf(c.content());
      case ChangeClaim _ -> MAX_CLAIM_BYTES;
      case ChangeDuty c -> SMALL_COMMAND_BYTES + c.change().bytes();
      case AdvanceRollout _, CarryOut _ -> SMALL_COMMAND_BYTES;
    };
  }

  /**
   * Returns whether applying the command twice gives the same state and result as applying it once.
   * Only such a command may be sent to a new leader while its outcome at the old one is unknown.
   */
  default boolean isIdempotent() {
    return switch (this) {
      case AcceptTicket _, ReplaceConfiguration _ -> true;
      case ChangeClaim _, AdvanceRollout _, CarryOut _, ChangeDuty _ -> false;
    };
  }
}
