package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.control.OrderDecision.Outcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Submits the orders of operators, and answers and logs their outcomes.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class OrderHandler {

  private static final Failure OVERTAKEN =
      Failure.notRun(
          ErrorCode.BUSY,
          "another order on the same subject came first; send this one again if it still holds");

  private final ReplicatedStateMachine replicatedStateMachine;
  private final Map<RequestId, Submission> pending = new HashMap<>();

  private record Submission(OperatorOrder order, Duration age, Instant at) {}

  OrderHandler(ReplicatedStateMachine replicatedStateMachine) {
    this.replicatedStateMachine = replicatedStateMachine;
  }

  /** Submits an order and returns the resulting actions, its outcome possibly among them. */
  List<StateMachineAction> submit(RequestId id, OperatorOrder order, RequestAge age, Instant now) {
    pending.put(id, new Submission(order, Duration.between(age.sentAfter(), now), now));
    return replicatedStateMachine.submitOrder(id, order, age, now);
  }

  void onCarriedOut(RequestId id, Instant now, List<ControlAction> actions) {
    actions.add(new ControlAction.AnswerCarriedOut(id));
    log(id, new Outcome.CarriedOut(), now, actions);
  }

  void onOvertaken(RequestId id, Instant now, List<ControlAction> actions) {
    actions.add(new ControlAction.AnswerFailure(id, OVERTAKEN));
    log(id, new Outcome.Overtaken(), now, actions);
  }

  /** Logs the failure of a request if it is an order. */
  void onFailed(RequestId id, Failure failure, Instant now, List<ControlAction> actions) {
    log(id, new Outcome.Failed(failure), now, actions);
  }

  private void log(RequestId id, Outcome outcome, Instant now, List<ControlAction> actions) {
    Submission submission = pending.remove(id);
    if (submission != null) {
      Duration took = Duration.between(submission.at(), now);
      actions.add(
          new ControlAction.LogOrder(
              new OrderDecision(submission.order(), submission.age(), took, outcome)));
    }
  }
}
