package org.cuminwell.core.control;

import java.time.Duration;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.idempotency.ClaimChange;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.ticket.Ticket;

/**
 * Represents a command that changes the replicated state.
 *
 * <p>A command takes effect when it is committed and applied. Immutable and thread safe.
 */
public sealed interface Command {

  /** The timeout for the outcome of a submitted command. */
  Duration OUTCOME_TIMEOUT = Duration.ofSeconds(6);

  /** The timeout for the outcome of a command that a later command may undo. */
  Duration SHORT_OUTCOME_TIMEOUT = Duration.ofSeconds(1);

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
   * Starts or ends the evacuation of a data centre, whose endpoints get no requests meanwhile.
   *
   * @param evacuated whether the evacuation starts; otherwise it ends
   */
  record Evacuate(DataCentreId dataCentre, boolean evacuated) implements Command {}

  /** Starts the rollout of another version of a service. */
  record BeginRollout(RolloutOrder order) implements Command {}

  /**
   * Returns the timeout for the command's outcome. A command that a later command can undo must not
   * outlive its sender's timeout, since the sender may already have submitted the later command.
   */
  default Duration outcomeTimeout() {
    return switch (this) {
      case AcceptTicket _,
          ChangeClaim _,
          AdvanceRollout _,
          ReplaceConfiguration _,
          BeginRollout _ ->
          OUTCOME_TIMEOUT;
      case Evacuate _ -> SHORT_OUTCOME_TIMEOUT;
    };
  }

  /**
   * Returns whether applying the command twice gives the same state and result as applying it once.
   * Only such a command may be sent to a new leader while its outcome at the old one is unknown.
   */
  default boolean isIdempotent() {
    return switch (this) {
      case AcceptTicket _, ReplaceConfiguration _, BeginRollout _ -> true;
      case ChangeClaim _, AdvanceRollout _, Evacuate _ -> false;
    };
  }
}
