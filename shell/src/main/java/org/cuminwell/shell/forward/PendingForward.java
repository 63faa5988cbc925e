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
 * Holds an open request with its body, its latest attempt and the future of its response; the
 * decisions in {@link org.cuminwell.core.forward.Forwarder} need none of these.
 *
 * <p>Invariant: the caller receives one response; later ones are dropped. Thread safe.
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

  /** Returns the id of the last whole event that was passed to the caller, if one had an id. */
  Optional<String> lastEventId() {
    return EventIds.findLast(lastEventsWithId.get());
  }

  /** Records whole events that are passed to the caller; ignored if none of them has an id. */
  void recordPassedEvents(ByteString events) {
    if (EventIds.containsId(events)) {
      lastEventsWithId.set(events);
    }
  }

  /** Makes the attempt the latest one; returns false if the request has been aborted. */
  synchronized boolean tryBegin(ForwardAttempt attempt) {
    if (aborted) {
      return false;
    }
    latestAttempt = attempt;
    return true;
  }

  /** Returns the attempt that was started last, if there is one. */
  synchronized Optional<ForwardAttempt> latestAttempt() {
    return Optional.ofNullable(latestAttempt);
  }

  /**
   * Returns a future for the bytes with which another attempt continues the response after the
   * latest attempt failed. It has failed already if the request has been aborted.
   */
  synchronized CompletableFuture<Source<ByteString, NotUsed>> awaitContinuation() {
    if (!aborted) {
      continuation = new CompletableFuture<>();
    }
    return continuation;
  }

  /** Completes the future of {@link #awaitContinuation} with the bytes of the next attempt. */
  synchronized void continueWith(Source<ByteString, NotUsed> source) {
    continuation.complete(source);
  }

  /**
   * Aborts the response: cancels the latest attempt, fails a wait for a continuation and allows no
   * further attempt.
   */
  void abort() {
    Optional<ForwardAttempt> running;
    synchronized (this) {
      aborted = true;
      running = Optional.ofNullable(latestAttempt);
      continuation.completeExceptionally(new CallEndedException("the response was aborted"));
    }
    running.ifPresent(ForwardAttempt::cancel);
  }
}
