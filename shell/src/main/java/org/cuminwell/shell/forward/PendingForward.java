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
import org.cuminwell.shell.http.CallEndedException;
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
  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private @Nullable ForwardAttempt latestAttempt;
  private CompletableFuture<Source<ByteString, NotUsed>> continuation = new CompletableFuture<>();
  private final AtomicReference<ByteString> lastEventsWithId =
      new AtomicReference<>(ByteString.emptyByteString());
  private boolean aborted;

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

  CompletableFuture<HttpResponse> response() {
    return response;
  }

  /** Returns the id of the last event that has gone to the caller whole. */
  Optional<String> lastEventId() {
    return EventIds.findLast(lastEventsWithId.get());
  }

  /** Notes the latest events that go to the caller; those without an id don't count. */
  void recordPassedEvents(ByteString events) {
    if (EventIds.containsId(events)) {
      lastEventsWithId.set(events);
    }
  }

  /** Notes the attempt that runs, and returns whether it may. */
  synchronized boolean tryBegin(ForwardAttempt next) {
    if (aborted) {
      return false;
    }
    latestAttempt = next;
    return true;
  }

  /** Returns the attempt that was begun last. */
  synchronized Optional<ForwardAttempt> latestAttempt() {
    return Optional.ofNullable(latestAttempt);
  }

  /** Returns where the rest of the answer will come from after an attempt that broke off. */
  synchronized CompletableFuture<Source<ByteString, NotUsed>> awaitContinuation() {
    if (!aborted) {
      continuation = new CompletableFuture<>();
    }
    return continuation;
  }

  /** Brings the rest of an answer that has begun. */
  synchronized void continueWith(Source<ByteString, NotUsed> source) {
    continuation.complete(source);
  }

  /** Breaks the answer off, whatever it waits for. */
  void abort() {
    Optional<ForwardAttempt> running;
    synchronized (this) {
      aborted = true;
      running = Optional.ofNullable(latestAttempt);
      continuation.completeExceptionally(new CallEndedException("the answer was broken off"));
    }
    running.ifPresent(ForwardAttempt::cancel);
  }
}
