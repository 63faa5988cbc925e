package org.cuminwell.shell.control;

import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ControlView;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;

/**
 * Sends queries and commands to the decide thread of a control host, and returns its answers.
 *
 * <p>Invariant: each request is completed exactly once, at the latest after its timeout. Thread
 * safe.
 */
public final class ControlRequests {

  private final Predicate<ControlEvent> events;
  private final Map<RequestId, CompletableFuture<ControlAction.Answer>> pending =
      new ConcurrentHashMap<>();
  private volatile ControlView view;

  /**
   * Creates an instance without pending requests.
   *
   * @param events offers an event to the ring of the decide thread, and returns false if it is full
   * @param initialView the view to return until the first update
   */
  ControlRequests(Predicate<ControlEvent> events, ControlView initialView) {
    this.events = events;
    this.view = initialView;
  }

  /** Returns the latest view of the system's state. */
  public ControlView view() {
    return view;
  }

  /**
   * Sends an event that needs no answer, and returns whether the decide thread's ring accepted it.
   */
  public boolean send(ControlEvent event) {
    return events.test(event);
  }

  /**
   * Sends a request, and returns its answer. The answer is a failure if the ring is full ({@code
   * BUSY}) or if the timeout ends first ({@code NO_QUORUM}).
   *
   * @param eventFactory creates the event to send from the id of the request
   */
  public CompletableFuture<ControlAction.Answer> request(
      Function<RequestId, ControlEvent> eventFactory, Duration timeout) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    CompletableFuture<ControlAction.Answer> answer = new CompletableFuture<>();
    pending.put(id, answer);
    if (!events.test(eventFactory.apply(id))) {
      pending.remove(id);
      Failure busy = Failure.notRun(ErrorCode.BUSY, "this control host is busy; try again");
      return CompletableFuture.completedFuture(new ControlAction.AnswerFailure(id, busy));
    }
    Failure timedOut =
        Failure.mayHaveRun(
            ErrorCode.NO_QUORUM, "no answer within the timeout; send the same request again");
    return answer
        .completeOnTimeout(
            new ControlAction.AnswerFailure(id, timedOut),
            timeout.toMillis(),
            TimeUnit.MILLISECONDS)
        .whenComplete((_, _) -> pending.remove(id));
  }

  /** Returns the number of requests that have no answer yet. */
  int pendingCount() {
    return pending.size();
  }

  /** Completes the request with the answer's id; does nothing if it is no longer pending. */
  void complete(ControlAction.Answer answer) {
    CompletableFuture<ControlAction.Answer> waiter = pending.remove(answer.id());
    if (waiter != null) {
      waiter.complete(answer);
    }
  }

  /** Replaces the view that {@link #view} returns. */
  void updateView(ControlView latest) {
    view = latest;
  }
}
