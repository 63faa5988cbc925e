package org.cuminwell.shell.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardAttemptOutcome.CallerDisconnected;
import org.cuminwell.core.forward.ForwardAttemptOutcome.Completed;
import org.cuminwell.core.forward.ForwardAttemptOutcome.Failed;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.jspecify.annotations.Nullable;

/**
 * Writes the response to one caller: a failure, or the response of an endpoint as it arrives, which
 * other attempts may continue.
 *
 * <p>The head is written with the first part of the body. If the body fails before, the caller's
 * response is still open, so the caller gets a failure response instead of a closed connection
 * without a byte. An event stream that ends within an event has broken off, whatever its framing
 * says. Resumable event streams are passed on by whole events; if one breaks off, the caller's
 * stream stays open until another attempt continues it or the request is aborted. Invariants: the
 * caller receives one response; an attempt that is passed on is ended once. Confined to the event
 * loop of the exchanges.
 */
final class CallerResponse {

  private static final int FIRST_FAILURE = 400;
  private static final int MAX_RESUMPTIONS = 8;

  /** How many events a stream may have beyond one for each declared token. */
  private static final int EXTRA_EVENTS = 16;

  private final PendingForward call;
  private final ResponseWriter writer;
  private final EventLoop loop;
  private final InstantSource time;
  private final Consumer<ForwardEvent> events;
  private @Nullable ResponseStart head;
  private @Nullable ForwardAttempt passing;

  /** Measures the gaps between the parts; there is none until the head has been written. */
  private @Nullable GapMeter gaps;

  private @Nullable Future<?> stallTimer;
  private BodyFilter filter = new UnchangedBody();
  private Instant lastPartAt = Instant.MIN;
  private boolean isReadingPaused;
  private boolean isResumable;
  private boolean ended;
  private int resumptions;

  CallerResponse(
      PendingForward call,
      ResponseWriter writer,
      EventLoop loop,
      InstantSource time,
      Consumer<ForwardEvent> events) {
    this.call = call;
    this.writer = writer;
    this.loop = loop;
    this.time = time;
    this.events = events;
    writer.onWritable(this::resumeReading);
  }

  /**
   * Passes the response of an attempt on, or continues with it the one that broke off.
   *
   * @param response the head that the caller gets
   */
  void pass(ForwardAttempt attempt, ResponseStart response) {
    if (ended) {
      attempt.end(new CallerDisconnected());
      return;
    }
    passing = attempt;
    if (head == null) {
      head = response.withHeaders(HopByHopHeaders.endToEnd(response.headers()));
    }
    isResumable = attempt.sendAction().isResumable() && response.status() < FIRST_FAILURE;
    filter = filterFor(attempt, response);
    lastPartAt = time.instant();
    if (isResumable) {
      scheduleStallCheck(attempt, attempt.sendAction().streamIdleTimeout());
    }
    attempt.passTo(this);
  }

  /** Receives the next part of the body. */
  void onPart(byte[] part) {
    lastPartAt = time.instant();
    switch (filter.accept(part)) {
      case BodyFilter.Result.Pass r -> write(r.bytes());
      case BodyFilter.Result.Hold r -> {}
      case BodyFilter.Result.Fail r -> onFailure(r.outcome());
    }
  }

  /** Receives the end of the body. */
  void onEnd() {
    var fault = filter.findFaultAtEnd();
    if (fault.isPresent()) {
      onFailure(fault.get());
      return;
    }
    cancelStallCheck();
    startIfNotStarted(time.instant());
    ended = true;
    writer.end();
    endAttempt(new Completed());
  }

  /** Receives why the body is not whole. */
  void onFailure(ForwardAttemptOutcome outcome) {
    cancelStallCheck();
    if (isResumable && !isOverlong(outcome) && resumptions < MAX_RESUMPTIONS) {
      resumptions++;
      endAttempt(outcome);
      return;
    }
    endAttempt(outcome);
    if (isStarted()) {
      ended = true;
      writer.abort();
    }
  }

  /** Writes the failure, or closes the connection if a part of a response has been written. */
  void fail(ResponseMessage failure) {
    if (ended) {
      return;
    }
    ended = true;
    cancelStallCheck();
    if (isStarted()) {
      writer.abort();
    } else {
      writer.respond(failure);
    }
  }

  /** Ends the attempt whose response is passed on, since the caller has disconnected. */
  void onDisconnected() {
    ended = true;
    cancelStallCheck();
    endAttempt(new CallerDisconnected());
  }

  boolean isWritable() {
    return writer.isWritable();
  }

  /** Returns whether the head has been written. */
  private boolean isStarted() {
    return gaps != null;
  }

  private void write(byte[] bytes) {
    Instant now = time.instant();
    GapMeter meter = gaps;
    startIfNotStarted(now);
    if (isResumable) {
      call.recordPassedEvents(bytes);
    }
    if (meter != null) {
      meter.recordPart(now).ifPresent(this::reportMeanGap);
    }
    writer.write(bytes);
    ForwardAttempt attempt = passing;
    if (!writer.isWritable() && attempt != null) {
      isReadingPaused = true;
      attempt.call().setReading(false);
    }
  }

  private void startIfNotStarted(Instant now) {
    if (!isStarted() && head != null) {
      gaps = new GapMeter(now);
      writer.start(head);
      events.accept(new ForwardEvent.BodyStarted(call.head().id()));
    }
  }

  private void resumeReading() {
    isReadingPaused = false;
    lastPartAt = time.instant();
    ForwardAttempt attempt = passing;
    if (attempt != null) {
      attempt.call().setReading(true);
    }
  }

  private void reportMeanGap(Duration meanGap) {
    ForwardAttempt attempt = passing;
    if (attempt != null) {
      events.accept(
          new ForwardEvent.EventGapMeasured(
              attempt.sendAction().id(), attempt.sendAction().attempt(), meanGap));
    }
  }

  private void endAttempt(ForwardAttemptOutcome outcome) {
    ForwardAttempt attempt = passing;
    passing = null;
    if (attempt != null) {
      attempt.end(outcome);
    }
  }

  /** Reports that nothing has arrived for the time, unless reading was paused. */
  private void scheduleStallCheck(ForwardAttempt attempt, Duration in) {
    stallTimer = loop.schedule(() -> checkForStall(attempt), in.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void checkForStall(ForwardAttempt attempt) {
    if (ended || !attempt.equals(passing)) {
      return;
    }
    Duration timeout = attempt.sendAction().streamIdleTimeout();
    Duration silence = Duration.between(lastPartAt, time.instant());
    if (isReadingPaused || silence.compareTo(timeout) < 0) {
      scheduleStallCheck(attempt, isReadingPaused ? timeout : timeout.minus(silence));
    } else {
      scheduleStallCheck(attempt, timeout);
      attempt.reportSilence();
    }
  }

  private void cancelStallCheck() {
    if (stallTimer != null) {
      stallTimer.cancel(false);
    }
  }

  private BodyFilter filterFor(ForwardAttempt attempt, ResponseStart response) {
    if (isResumable) {
      return new EventFraming(maxEvents());
    }
    return attempt.sendAction().isStream() && EventBoundaryCheck.appliesTo(response)
        ? new EventBoundaryCheck()
        : new UnchangedBody();
  }

  /**
   * Returns the maximum number of events with an id in a response. Each event holds at least one
   * token, except for a few that open or close the stream.
   */
  private long maxEvents() {
    long tokens = call.head().declaredTokens().orElse(0);
    return tokens > 0 ? tokens + EXTRA_EVENTS : Long.MAX_VALUE;
  }

  private static boolean isOverlong(ForwardAttemptOutcome outcome) {
    return outcome instanceof Failed failed && failed.failure().code() == ErrorCode.ANSWER_TOO_LONG;
  }
}
