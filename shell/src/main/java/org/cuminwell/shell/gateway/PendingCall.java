package org.cuminwell.shell.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.shell.http.HttpResponses;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the decisions don't need of a request: its bytes and the way back to the caller.
 *
 * <p>Invariant: the caller gets one answer; later ones are dropped. Thread safe.
 */
final class PendingCall {

  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private final RequestId id;
  private final HttpRequest request;
  private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
  private final CompletableFuture<Failure> cancelled = new CompletableFuture<>();
  private volatile ByteString body = ByteString.emptyByteString();
  private volatile boolean stream;
  private final AtomicReference<@Nullable EndpointAttempt> attempt = new AtomicReference<>();
  private volatile boolean left;

  PendingCall(RequestId id, HttpRequest request) {
    this.id = id;
    this.request = request;
  }

  RequestId id() {
    return id;
  }

  HttpRequest request() {
    return request;
  }

  CompletableFuture<HttpResponse> answer() {
    return answer;
  }

  ByteString body() {
    return body;
  }

  /** Returns whether the caller asked for a streamed answer. */
  boolean isStream() {
    return stream;
  }

  void read(ByteString bytes, boolean streamed) {
    body = bytes;
    stream = streamed;
  }

  /** Returns the caller's Idempotency-Key, as it stands in the header. */
  Optional<String> idempotencyKey() {
    return request.getHeader(IDEMPOTENCY_KEY).map(HttpHeader::value).map(String::strip);
  }

  /** Notes the attempt that is to run, unless the caller has gone; returns whether it may run. */
  boolean tryAttempt(EndpointAttempt next) {
    attempt.set(next);
    if (left) {
      next.callerLeft();
    }
    return !left;
  }

  /** Takes in that the caller has gone, and ends what runs for it. */
  void callerLeft() {
    left = true;
    EndpointAttempt running = attempt.get();
    if (running != null) {
      running.callerLeft();
    }
  }

  /** Returns the failure that an answer under way is cut with, once there is one. */
  CompletableFuture<Failure> cancelled() {
    return cancelled;
  }

  void cancel(Failure failure) {
    cancelled.complete(failure);
  }

  void succeed(HttpResponse response) {
    answer.complete(response);
  }

  void fail(Failure failure) {
    answer.complete(HttpResponses.failure(id, failure));
  }
}
