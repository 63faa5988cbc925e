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
 * Queues reads that must be linearizable: they are answered from a state that includes everything
 * committed before the read arrived.
 *
 * <p>Invariant: a read is answered only after the state is known to be current for a time not
 * before its arrival, and fails after {@link #TIMEOUT}. Not thread safe: the thread of its {@link
 * Control} owns it.
 */
final class LinearizableReads {

  /** How long a read may wait. */
  static final Duration TIMEOUT = Duration.ofMillis(1_500);

  private static final int MAX_WAITING = 4_096;
  private static final Failure NOT_CURRENT =
      Failure.notRun(
          ErrorCode.NO_QUORUM,
          "this control host can't tell whether its state is the latest; ask another");

  private final List<WaitingRead> waitingReads = new ArrayList<>();

  private sealed interface Read {
    record Document(RequestId id) implements Read {}

    record Rollout(RequestId id, String service) implements Read {}

    record Revision(HostId gateway, Instant askedAt) implements Read {}
  }

  private record WaitingRead(Read read, Instant receivedAt) {}

  void addDocumentRead(RequestId id, Instant now) {
    waitingReads.add(new WaitingRead(new Read.Document(id), now));
  }

  void addRolloutRead(RequestId id, String service, Instant now) {
    waitingReads.add(new WaitingRead(new Read.Rollout(id, service), now));
  }

  void addRevisionRead(HostId gateway, Instant askedAt, Instant now) {
    if (waitingReads.size() < MAX_WAITING) {
      waitingReads.add(new WaitingRead(new Read.Revision(gateway, askedAt), now));
    }
  }

  /** Returns whether a read is waiting. */
  boolean isWaiting() {
    return !waitingReads.isEmpty();
  }

  /**
   * Answers the reads for which the state is current, and fails those that have timed out. A
   * gateway's query then gets no reply.
   */
  void answerOrExpire(
      ReplicatedStateMachine replicatedStateMachine, Instant now, List<ControlAction> actions) {
    waitingReads.removeIf(
        entry -> {
          boolean isCurrent = !replicatedStateMachine.currentAsOf().isBefore(entry.receivedAt());
          boolean hasTimedOut = !now.isBefore(entry.receivedAt().plus(TIMEOUT));
          if (isCurrent) {
            answer(entry.read(), replicatedStateMachine.state(), actions);
          } else if (hasTimedOut) {
            fail(entry.read(), actions);
          }
          return isCurrent || hasTimedOut;
        });
  }

  private static void fail(Read question, List<ControlAction> actions) {
    switch (question) {
      case Read.Document q -> actions.add(new AnswerFailure(q.id(), NOT_CURRENT));
      case Read.Rollout q -> actions.add(new AnswerFailure(q.id(), NOT_CURRENT));
      case Read.Revision _ -> {}
    }
  }

  private static void answer(Read question, ReplicatedState state, List<ControlAction> actions) {
    switch (question) {
      case Read.Document q -> actions.add(new AnswerConfiguration(q.id(), state.document()));
      case Read.Rollout q ->
          actions.add(
              new AnswerRollout(
                  q.id(), state.findServiceRollouts(q.service()).map(ServiceRolloutState::last)));
      case Read.Revision q ->
          actions.add(
              new SendToPeer(
                  q.gateway(),
                  new PeerMessage.Distribution(
                      new DistributionMessage.LatestRevision(
                          q.askedAt(), state.configuration().revision()))));
    }
  }
}
