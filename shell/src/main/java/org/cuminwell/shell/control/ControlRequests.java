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
 * Puts questions and orders to the decide thread of a control host, and returns its answers.
 *
 * <p>Invariant: each is answered once, at the latest after its timeout. Thread safe.
 */
public final class ControlRequests {

  private final Predicate<ControlEvent> events;
  private final Map<RequestId, CompletableFuture<ControlAction.Answer>> waiting =
      new ConcurrentHashMap<>();
  private volatile ControlView view;

  /** Makes a desk that puts events into the ring of the decide thread. */
  ControlRequests(Predicate<ControlEvent> events, ControlView first) {
    this.events = events;
    this.view = first;
  }

  /** Returns the latest state that operators are shown. */
  public ControlView view() {
    return view;
  }

  /** Tells something that needs no answer, and returns whether it was taken. */
  public boolean tell(ControlEvent event) {
    return events.test(event);
  }

  /**
   * Asks something, and returns the answer.
   *
   * @param event makes the event that asks it under an id
   */
  public CompletableFuture<ControlAction.Answer> ask(
      Function<RequestId, ControlEvent> event, Duration timeout) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    CompletableFuture<ControlAction.Answer> answer = new CompletableFuture<>();
    waiting.put(id, answer);
    if (!events.test(event.apply(id))) {
      waiting.remove(id);
      Failure busy = Failure.notRun(ErrorCode.BUSY, "this control host is busy; try again");
      return CompletableFuture.completedFuture(new ControlAction.AnswerFailure(id, busy));
    }
    Failure late =
        Failure.mayHaveRun(ErrorCode.NO_QUORUM, "there is no answer yet; ask the same again");
    return answer
        .completeOnTimeout(
            new ControlAction.AnswerFailure(id, late), timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((_, _) -> waiting.remove(id));
  }

  /** Returns how many questions and orders have no answer yet. */
  int underWay() {
    return waiting.size();
  }

  /** Brings an answer to whoever waits for it. */
  void answer(ControlAction.Answer answer) {
    CompletableFuture<ControlAction.Answer> waiter = waiting.remove(answer.id());
    if (waiter != null) {
      waiter.complete(answer);
    }
  }

  /** Shows a new state from now on. */
  void show(ControlView latest) {
    view = latest;
  }
}
