package org.cuminwell.core.control;

import java.time.Instant;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/**
 * Tracks a submitted command until its outcome is known. Not thread safe: one thread owns it.
 *
 * <p>Invariant: a command that was ever forwarded to another host never fails as "not run".
 */
final class PendingCommand {

  /** States how far a command has got. Immutable and thread safe. */
  sealed interface Stage {
    /** States that the command waits for a leader. */
    record Waiting() implements Stage {}

    /** States that the command was sent to the leader of a term, which has not replied. */
    record Forwarded(long term) implements Stage {}

    /** States that the command was appended to a leader's log. */
    record Appended(long index, long term) implements Stage {}
  }

  private final Command command;
  private final long bytes;
  private final Instant proposalDeadline;
  private final Instant outcomeDeadline;
  private boolean wasForwarded;
  private Stage stage = new Stage.Waiting();

  private PendingCommand(Command command, Instant proposalDeadline, Instant outcomeDeadline) {
    this.command = command;
    this.bytes = command.bytes();
    this.proposalDeadline = proposalDeadline;
    this.outcomeDeadline = outcomeDeadline;
  }

  /** Tracks a command that may be proposed late. */
  static PendingCommand of(Command command, Instant now) {
    Instant deadline = now.plus(Command.OUTCOME_TIMEOUT);
    return new PendingCommand(command, deadline, deadline);
  }

  /** Tracks an order, which must not be proposed once its sender may have given it up. */
  static PendingCommand ofOrder(Command command, RequestAge age) {
    return new PendingCommand(command, age.proposalDeadline(), age.outcomeDeadline());
  }

  Command command() {
    return command;
  }

  /** Returns the estimated memory of the command, in bytes. */
  long bytes() {
    return bytes;
  }

  Stage stage() {
    return stage;
  }

  boolean isExpired(Instant now) {
    return !now.isBefore(stage instanceof Stage.Waiting ? proposalDeadline : outcomeDeadline);
  }

  /** Returns whether the command should be sent to the leader of the given term. */
  boolean isReadyFor(long term, Instant now) {
    if (!now.isBefore(proposalDeadline)) {
      return false;
    }
    return switch (stage) {
      case Stage.Waiting s -> true;
      case Stage.Forwarded s -> s.term() < term && command.isIdempotent();
      case Stage.Appended s -> false;
    };
  }

  void markForwarded(long term) {
    wasForwarded = true;
    stage = new Stage.Forwarded(term);
  }

  void markAppended(long index, long term) {
    stage = new Stage.Appended(index, term);
  }

  /** Makes the command wait for a leader again, since the receiver did not lead. */
  void markRejected() {
    stage = new Stage.Waiting();
  }

  /**
   * Handles that another entry was committed at the command's index, and returns whether the
   * command is to be proposed again. That is safe if the command is idempotent, or was only ever at
   * that index and so can no longer be committed.
   */
  boolean retryAfterDisplacement() {
    if (wasForwarded && !command.isIdempotent()) {
      return false;
    }
    stage = new Stage.Waiting();
    return true;
  }

  /** Returns the outcome of a command that has timed out. */
  CommandOutcome timeoutOutcome() {
    return switch (stage) {
      case Stage.Waiting s -> wasForwarded ? unknownOutcome() : notRunOutcome(whyNotProposed());
      case Stage.Forwarded s -> unknownOutcome();
      case Stage.Appended s -> unknownOutcome();
    };
  }

  private String whyNotProposed() {
    return command instanceof Command.CarryOut
        ? "the order may be too old, or no quorum of control hosts answers"
        : "no quorum of control hosts answers";
  }

  static CommandOutcome unknownOutcome() {
    return new CommandOutcome.Failed(
        Failure.mayHaveRun(
            ErrorCode.NO_QUORUM,
            "the outcome is unknown; submit the same request again to learn it"));
  }

  static CommandOutcome notRunOutcome(String why) {
    return new CommandOutcome.Failed(
        Failure.notRun(ErrorCode.NO_QUORUM, why + "; nothing was changed; submit it again"));
  }

  /** Returns the outcome of a command that the log can't hold. */
  static CommandOutcome invalidOutcome(IllegalArgumentException why) {
    return new CommandOutcome.Failed(
        Failure.notRun(
            ErrorCode.BAD_REQUEST, why.getMessage() + "; nothing was changed; send other values"));
  }
}
