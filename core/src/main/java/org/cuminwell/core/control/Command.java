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
 * Is one change of the state that all control hosts replicate.
 *
 * <p>A command takes effect when it has its place in the agreed order, and not before. Immutable
 * and thread safe.
 */
public sealed interface Command {

  /** How long a submitted command may wait for its fate. */
  Duration PATIENCE = Duration.ofSeconds(6);

  /** How long a command may wait that a later one may undo. */
  Duration SHORT_PATIENCE = Duration.ofSeconds(1);

  /** Asks to put a ticket in force under its number. */
  record AcceptTicket(Ticket ticket) implements Command {}

  /** Asks to change the claim on a key. */
  record ChangeClaim(ClaimChange change) implements Command {}

  /** Asks to record the next step of a version rollout. */
  record AdvanceRollout(RolloutAdvance advance) implements Command {}

  /** Asks to put a whole configuration in force, unless one of a higher version is. */
  record ReplaceConfiguration(ConfigurationDocument document, Configuration content)
      implements Command {}

  /** Asks to keep requests from the endpoints of a data centre, or to end that. */
  record Evacuate(DataCentreId dataCentre, boolean evacuated) implements Command {}

  /** Asks to move a service to another version. */
  record BeginRollout(RolloutOrder order) implements Command {}

  /**
   * Returns how long the command may wait for its fate. One that a later command undoes must not
   * wait longer than its sender, who may have sent that other one meanwhile.
   */
  default Duration patience() {
    return switch (this) {
      case AcceptTicket _,
          ChangeClaim _,
          AdvanceRollout _,
          ReplaceConfiguration _,
          BeginRollout _ ->
          PATIENCE;
      case Evacuate _ -> SHORT_PATIENCE;
    };
  }

  /**
   * Returns whether applying the command twice gives the same state and result as once, so that it
   * may be sent to a new leader while its fate with the old one is unknown.
   */
  default boolean isIdempotent() {
    return switch (this) {
      case AcceptTicket _, ReplaceConfiguration _, BeginRollout _ -> true;
      case ChangeClaim _, AdvanceRollout _, Evacuate _ -> false;
    };
  }
}
