package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/**
 * Keeps a submitted command until its fate is known. Not thread safe: one thread owns it.
 *
 * <p>Invariant: a command that has left this host is never failed as "not run".
 */
final class PendingCommand {

  /** Says how far a command has come. Immutable and thread safe. */
  sealed interface Stage {
    /** Waits for a leader; nobody else has seen it. */
    record Waiting() implements Stage {}

    /** Was sent to the leader of a term, who has not answered. */
    record Forwarded(long term) implements Stage {}

    /** Has a place in a leader's log. */
    record Placed(long index, long term) implements Stage {}
  }

  private final Command command;
  private final Instant deadline;
  private boolean sent;
  private Stage stage = new Stage.Waiting();

  PendingCommand(Command command, Instant deadline) {
    this.command = command;
    this.deadline = deadline;
  }

  Command command() {
    return command;
  }

  Stage stage() {
    return stage;
  }

  boolean isDue(Instant now) {
    return !now.isBefore(deadline);
  }

  /** Returns whether the command should be sent to the leader of the given term. */
  boolean isReadyFor(long term) {
    return switch (stage) {
      case Stage.Waiting s -> true;
      case Stage.Forwarded s -> s.term() < term && command.isIdempotent();
      case Stage.Placed s -> false;
    };
  }

  void forwarded(long term) {
    sent = true;
    stage = new Stage.Forwarded(term);
  }

  void placed(long index, long term) {
    stage = new Stage.Placed(index, term);
  }

  /** Waits for a leader again. */
  void rejected() {
    stage = new Stage.Waiting();
  }

  /**
   * Learns that another entry was committed at the command's place, and returns whether the command
   * now waits for another place. If it was only ever at that place it can't be committed any more.
   */
  boolean displaced() {
    if (sent && !command.isIdempotent()) {
      return false;
    }
    stage = new Stage.Waiting();
    return true;
  }

  /** Returns the outcome when no more can be learnt in time. */
  CommandOutcome late() {
    return switch (stage) {
      case Stage.Waiting s -> sent ? unknown() : notTaken("no quorum of control hosts answers");
      case Stage.Forwarded s -> unknown();
      case Stage.Placed s -> unknown();
    };
  }

  static CommandOutcome unknown() {
    return new CommandOutcome.Failed(
        Failure.mayHaveRun(
            ErrorCode.NO_QUORUM, "the fate is unknown; submit the same again to learn it"));
  }

  static CommandOutcome notTaken(String why) {
    return new CommandOutcome.Failed(
        Failure.notRun(ErrorCode.NO_QUORUM, why + "; nothing was taken; submit it again"));
  }
}
