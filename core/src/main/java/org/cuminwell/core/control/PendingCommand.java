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

    /** Was sent to a leader that has not answered. */
    record Forwarded() implements Stage {}

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

  void forwarded() {
    sent = true;
    stage = new Stage.Forwarded();
  }

  void placed(long index, long term) {
    stage = new Stage.Placed(index, term);
  }

  /** Waits for a leader again. */
  void rejected() {
    stage = new Stage.Waiting();
  }

  /** Returns the outcome when the entry at the command's place turned out to be another one. */
  CommandOutcome displaced() {
    return sent ? unknown() : notTaken("another control host took the lead");
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
