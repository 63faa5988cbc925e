package org.cuminwell.shell.forward;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Graph;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.ClientConnections;
import org.cuminwell.shell.http.HttpSystem;
import scala.PartialFunction;

/**
 * Sends attempts to endpoints, through a relay gateway where the action names one, and passes their
 * responses to callers.
 *
 * <p>An event stream that ends within an event has broken off, whatever its framing says. Resumable
 * event streams are passed on by whole events; if one breaks off, the caller's stream stays open
 * until another attempt continues it or the request is aborted. Progress and end of each attempt
 * are reported through {@link ForwardAttempt}. Thread safe.
 */
final class ForwardClient {

  private static final int MAX_RESUMPTIONS = 8;

  private static final Failure FIRST_BYTE_TIMED_OUT =
      Failure.mayHaveRun(
          ErrorCode.ENDPOINT_FAILED,
          "the endpoint sent no response head within the first-byte timeout");

  /** How many events a stream may have beyond one for each declared token. */
  private static final int EXTRA_EVENTS = 16;

  private final HttpSystem http;
  private final InstantSource time;
  private final ForwardDialect dialect;
  private final Consumer<ForwardEvent> events;
  private final ClientConnections connections;

  ForwardClient(
      HttpSystem http,
      InstantSource time,
      ClientConnections connections,
      ForwardDialect dialect,
      Consumer<ForwardEvent> events) {
    this.http = http;
    this.time = time;
    this.connections = connections;
    this.dialect = dialect;
    this.events = events;
  }

  /**
   * Starts an attempt and returns without waiting for it. If the request has been aborted nothing
   * is sent.
   */
  void send(PendingForward call, ForwardAction.Send sendAction) {
    ForwardAttempt attempt = new ForwardAttempt(sendAction, connections.newCall(), events);
    if (!call.tryBegin(attempt)) {
      attempt.end(new ForwardAttemptOutcome.CallerDisconnected());
      return;
    }
    Optional<String> resumeAfter =
        sendAction.isResumption() ? call.lastEventId() : Optional.empty();
    HttpRequest request =
        dialect.endpointRequest(call.request(), call.body(), call.head(), sendAction, resumeAfter);
    HostAddress target = sendAction.relay().orElse(sendAction.address());
    if (sendAction.relay().isPresent()) {
      request =
          RelayHeaders.addRelayTarget(request, sendAction.address(), sendAction.isRepeatable());
    }
    Cancellable firstByteTimer = scheduleFirstByteTimeout(attempt);
    var _ =
        attempt
            .call()
            .send(target, request, sendAction.isRepeatable())
            .whenComplete(
                (response, error) -> {
                  firstByteTimer.cancel();
                  if (error != null) {
                    attempt.endIfWaiting(AttemptFailures.beforeResponse(error));
                  } else {
                    onResponse(call, attempt, response);
                  }
                });
  }

  /** Passes the latest attempt's response to the caller; a resumption continues the first one. */
  void passResponse(PendingForward call) {
    ForwardAttempt attempt = call.latestAttempt().orElseThrow();
    HttpResponse response = attempt.response();
    if (attempt.sendAction().isResumption()) {
      call.continueWith(body(call, attempt, response));
    } else if (response.entity() instanceof HttpEntity.Strict strictBody) {
      events.accept(new ForwardEvent.BodyStarted(call.head().id()));
      complete(call, attempt, endToEndHead(response).withEntity(strictBody));
      attempt.end(new ForwardAttemptOutcome.Completed());
    } else {
      passAfterFirstPart(call, attempt, response);
    }
  }

  /**
   * Passes the response on once the first part of its body has arrived. If the body fails before
   * that, the caller's response is still open, so the caller gets a failure response instead of a
   * closed connection without a byte.
   */
  private void passAfterFirstPart(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    var _ =
        monitoredBody(call, attempt, response)
            .prefixAndTail(1)
            .runWith(Sink.head(), http.actorSystem())
            .thenAccept(
                firstAndRest -> {
                  Source<ByteString, NotUsed> bytes =
                      Source.from(firstAndRest.first()).concat(firstAndRest.second());
                  HttpResponse passed =
                      endToEndHead(response).withEntity(entityLike(response.entity(), bytes));
                  complete(call, attempt, passed);
                });
  }

  /** Completes the caller's response; cancels the attempt if it was completed before. */
  private static void complete(PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    if (!call.response().complete(response)) {
      attempt.cancel();
    }
  }

  /** Handles a response head: a failure reported by the relay, or the endpoint's own response. */
  private void onResponse(PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    Optional<Failure> relayFailure =
        attempt.sendAction().relay().flatMap(_ -> RelayHeaders.findFailure(response));
    if (relayFailure.isPresent()) {
      attempt.endIfWaiting(AttemptFailures.atRelay(relayFailure.get()));
    } else {
      attempt.onResponseHead(response, dialect.parseResponseHead(response, call.head()));
    }
  }

  /** Schedules the failure of an attempt whose response head is not received in time. */
  private Cancellable scheduleFirstByteTimeout(ForwardAttempt attempt) {
    ForwardAction.Send sendAction = attempt.sendAction();
    if (sendAction.firstByteTimeout().compareTo(sendAction.timeLeft()) >= 0) {
      return Cancellable.alreadyCancelled();
    }
    return http.actorSystem()
        .scheduler()
        .scheduleOnce(
            sendAction.firstByteTimeout(),
            () -> attempt.endIfWaiting(new ForwardAttemptOutcome.Failed(FIRST_BYTE_TIMED_OUT)),
            http.actorSystem().dispatcher());
  }

  /** Returns the status and the end-to-end headers of a response, without its body. */
  private static HttpResponse endToEndHead(HttpResponse response) {
    List<HttpHeader> headers = HopByHopHeaders.endToEnd(response.getHeaders());
    return HttpResponse.create().withStatus(response.status()).addHeaders(headers);
  }

  /** Returns the body, whose start, mean gap between parts and end are reported as it passes. */
  private Source<ByteString, NotUsed> monitoredBody(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    return body(call, attempt, response)
        .via(
            new ResponseMonitor(
                time,
                () -> events.accept(new ForwardEvent.BodyStarted(call.head().id())),
                meanGap -> reportMeanGap(call, attempt, meanGap),
                outcome -> call.latestAttempt().orElse(attempt).end(outcome)));
  }

  /** Reports the mean gap for the latest attempt, which may have resumed the first one. */
  private void reportMeanGap(PendingForward call, ForwardAttempt first, Duration meanGap) {
    ForwardAction.Send latest = call.latestAttempt().orElse(first).sendAction();
    events.accept(new ForwardEvent.EventGapMeasured(latest.id(), latest.attempt(), meanGap));
  }

  /** Returns an entity of the given bytes with the content type and the length of another. */
  private static ResponseEntity entityLike(ResponseEntity from, Source<ByteString, NotUsed> bytes) {
    OptionalLong length = from.getContentLengthOption();
    return length.isPresent()
        ? HttpEntities.create(from.getContentType(), length.getAsLong(), bytes)
        : HttpEntities.createChunked(from.getContentType(), bytes);
  }

  /** Returns the bytes of a response; a resumable stream by whole events and with resumptions. */
  private Source<ByteString, NotUsed> body(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    Source<ByteString, NotUsed> bytes =
        response
            .entity()
            .withoutSizeLimit()
            .getDataBytes()
            .mapMaterializedValue(_ -> NotUsed.getInstance());
    if (!attempt.sendAction().isResumable() || response.status().isFailure()) {
      return attempt.sendAction().isStream() && EventBoundaryCheck.appliesTo(response)
          ? bytes.via(new EventBoundaryCheck())
          : bytes;
    }
    Source<ByteString, NotUsed> events =
        bytes
            .idleTimeout(attempt.sendAction().streamIdleTimeout())
            .via(new EventFraming(call::recordPassedEvents, maxEvents(call.head())));
    return attempt.sendAction().isResumption()
        ? events
        : events.recoverWithRetries(MAX_RESUMPTIONS, resumeAfterFailure(call));
  }

  /**
   * Returns the maximum number of events with an id in a response. Each event holds at least one
   * token, except for a few that open or close the stream.
   */
  private static long maxEvents(ForwardRequest head) {
    long tokens = head.declaredTokens().orElse(0);
    return tokens > 0 ? tokens + EXTRA_EVENTS : Long.MAX_VALUE;
  }

  /** Continues a failed stream with the next attempt, unless it held more events than allowed. */
  private static PartialFunction<Throwable, Graph<SourceShape<ByteString>, NotUsed>>
      resumeAfterFailure(PendingForward call) {
    return new PFBuilder<Throwable, Graph<SourceShape<ByteString>, NotUsed>>()
        .match(
            Throwable.class,
            error -> !(error instanceof OverlongResponseException),
            error -> failAndAwaitContinuation(call, AttemptFailures.inBody(error)))
        .build();
  }

  /**
   * Reports the failure of the latest attempt and returns the bytes that will continue after it.
   */
  private static Source<ByteString, NotUsed> failAndAwaitContinuation(
      PendingForward call, ForwardAttemptOutcome failure) {
    CompletableFuture<Source<ByteString, NotUsed>> continuation = call.awaitContinuation();
    call.latestAttempt().ifPresent(attempt -> attempt.end(failure));
    return Source.completionStageSource(continuation)
        .mapMaterializedValue(_ -> NotUsed.getInstance());
  }
}
