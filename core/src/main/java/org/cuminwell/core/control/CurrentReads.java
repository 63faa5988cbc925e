package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cuminwell.core.control.ControlAction.AnswerConfiguration;
import org.cuminwell.core.control.ControlAction.AnswerFailure;
import org.cuminwell.core.control.ControlAction.AnswerRollout;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.ServiceRolloutState;

/**
 * Holds questions that only a state with everything committed before them may answer.
 *
 * <p>Invariant: a question is answered only once the state is established for a moment after it
 * came, or given up after {@link #PATIENCE}. Not thread safe: the thread of its {@link Control}
 * owns it.
 */
final class CurrentReads {

  /** How long a question may wait. */
  static final Duration PATIENCE = Duration.ofMillis(1_500);

  private static final int MAX_WAITING = 4_096;
  private static final Failure NOT_CURRENT =
      Failure.notRun(
          ErrorCode.NO_QUORUM,
          "this control host can't tell whether its state is the latest; ask another");

  private final List<Waiting> waiting = new ArrayList<>();

  private sealed interface Question {
    record Document(RequestId id) implements Question {}

    record Move(RequestId id, String service) implements Question {}

    record Revision(HostId gateway, Instant askedAt) implements Question {}
  }

  private record Waiting(Question question, Instant cameAt) {}

  void askDocument(RequestId id, Instant now) {
    waiting.add(new Waiting(new Question.Document(id), now));
  }

  void askMove(RequestId id, String service, Instant now) {
    waiting.add(new Waiting(new Question.Move(id, service), now));
  }

  void askRevision(HostId gateway, Instant askedAt, Instant now) {
    if (waiting.size() < MAX_WAITING) {
      waiting.add(new Waiting(new Question.Revision(gateway, askedAt), now));
    }
  }

  /** Returns whether a question waits. */
  boolean isWaiting() {
    return !waiting.isEmpty();
  }

  /** Answers what can be answered now, and gives up what has waited too long. */
  void settle(
      ReplicatedStateMachine replicatedStateMachine, Instant now, List<ControlAction> actions) {
    waiting.removeIf(
        entry -> {
          boolean known = !replicatedStateMachine.currentAsOf().isBefore(entry.cameAt());
          boolean late = !now.isBefore(entry.cameAt().plus(PATIENCE));
          if (known) {
            answer(entry.question(), replicatedStateMachine.state(), actions);
          } else if (late) {
            giveUp(entry.question(), actions);
          }
          return known || late;
        });
  }

  private static void giveUp(Question question, List<ControlAction> actions) {
    switch (question) {
      case Question.Document q -> actions.add(new AnswerFailure(q.id(), NOT_CURRENT));
      case Question.Move q -> actions.add(new AnswerFailure(q.id(), NOT_CURRENT));
      case Question.Revision _ -> {}
    }
  }

  private static void answer(
      Question question, ReplicatedState state, List<ControlAction> actions) {
    switch (question) {
      case Question.Document q -> actions.add(new AnswerConfiguration(q.id(), state.document()));
      case Question.Move q ->
          actions.add(
              new AnswerRollout(q.id(), state.movesOf(q.service()).map(ServiceRolloutState::last)));
      case Question.Revision q ->
          actions.add(
              new SendToPeer(
                  q.gateway(),
                  new PeerMessage.Distribution(
                      new DistributionMessage.LatestRevision(
                          q.askedAt(), state.configuration().revision()))));
    }
  }
}
