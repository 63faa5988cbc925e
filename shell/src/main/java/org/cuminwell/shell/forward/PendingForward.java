package org.cuminwell.shell.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.shell.http.CallOverException;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the decisions don't need of a forwarded request: its bytes and the way back.
 *
 * <p>Invariant: the caller gets one answer; later ones are dropped. Thread safe.
 */
final class PendingForward {

  private final ForwardRequest head;
  private final HttpRequest request;
  private final ByteString body;
  private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
  private @Nullable ForwardAttempt attempt;
  private CompletableFuture<Source<ByteString, NotUsed>> next = new CompletableFuture<>();
  private final AtomicReference<ByteString> lastEvents =
      new AtomicReference<>(ByteString.emptyByteString());
  private boolean over;

  PendingForward(ForwardRequest head, HttpRequest request, ByteString body) {
    this.head = head;
    this.request = request;
    this.body = body;
  }

  ForwardRequest head() {
    return head;
  }

  HttpRequest request() {
    return request;
  }

  ByteString body() {
    return body;
  }

  CompletableFuture<HttpResponse> answer() {
    return answer;
  }

  /** Returns the id of the last event that has gone to the caller whole. */
  Optional<String> lastEventId() {
    return EventIds.last(lastEvents.get());
  }

  /** Notes the latest events that go to the caller; those without an id don't count. */
  void passed(ByteString events) {
    if (EventIds.isIn(events)) {
      lastEvents.set(events);
    }
  }

  /** Notes the attempt that runs, and returns whether it may. */
  synchronized boolean begin(ForwardAttempt next) {
    if (over) {
      return false;
    }
    attempt = next;
    return true;
  }

  /** Returns the attempt that was begun last. */
  synchronized Optional<ForwardAttempt> attempt() {
    return Optional.ofNullable(attempt);
  }

  /** Returns where the rest of the answer will come from after an attempt that broke off. */
  synchronized CompletableFuture<Source<ByteString, NotUsed>> awaitRest() {
    if (!over) {
      next = new CompletableFuture<>();
    }
    return next;
  }

  /** Brings the rest of an answer that has begun. */
  synchronized void rest(Source<ByteString, NotUsed> source) {
    next.complete(source);
  }

  /** Breaks the answer off, whatever it waits for. */
  void cut() {
    Optional<ForwardAttempt> running;
    synchronized (this) {
      over = true;
      running = Optional.ofNullable(attempt);
      next.completeExceptionally(new CallOverException("the answer was broken off"));
    }
    running.ifPresent(ForwardAttempt::abandon);
  }
}
