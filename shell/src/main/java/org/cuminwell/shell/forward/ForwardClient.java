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
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
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
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.SingleCall;
import scala.PartialFunction;

/**
 * Carries attempts to endpoints, over another gateway where need be, and passes answers on.
 *
 * <p>Every attempt is reported as {@link ForwardAttempt} says. Thread safe.
 */
final class ForwardClient {

  /** How long a connection may take to be made. */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  private static final int MAX_RESUMPTIONS = 8;
  private static final int EXTRA_EVENTS = 16;

  private final HttpSystem http;
  private final InstantSource time;
  private final ForwardDialect dialect;
  private final Consumer<ForwardEvent> events;
  private final ClientConnectionSettings settings;

  ForwardClient(
      HttpSystem http, InstantSource time, ForwardDialect dialect, Consumer<ForwardEvent> events) {
    this.http = http;
    this.time = time;
    this.dialect = dialect;
    this.events = events;
    this.settings = SingleCall.clientSettings(http, CONNECT_TIMEOUT);
  }

  /** Starts the attempt and returns at once. */
  void send(PendingForward call, ForwardAction.Send order) {
    ForwardAttempt attempt = new ForwardAttempt(order, events);
    if (!call.tryBegin(attempt)) {
      attempt.end(new ForwardAttemptOutcome.CallerDisconnected());
      return;
    }
    Optional<String> resumeAfter = order.isResumption() ? call.lastEventId() : Optional.empty();
    HttpRequest request =
        dialect.endpointRequest(call.request(), call.body(), call.head(), order, resumeAfter);
    HostAddress target = order.relay().orElse(order.address());
    if (order.relay().isPresent()) {
      request = RelayHeaders.addRelayTarget(request, order.address());
    }
    Cancellable patience = scheduleFirstByteTimeout(attempt);
    var _ =
        attempt
            .connection()
            .send(http, settings, target, request)
            .whenComplete(
                (response, error) -> {
                  patience.cancel();
                  if (error != null) {
                    attempt.failIfWaiting(SingleCall.failureOf(error));
                  } else {
                    onResponse(call, attempt, response);
                  }
                });
  }

  /** Passes the answer of the attempt to the caller, or goes on with an answer that has begun. */
  void passResponse(PendingForward call) {
    ForwardAttempt attempt = call.latestAttempt().orElseThrow();
    HttpResponse response = attempt.response();
    if (attempt.sendAction().isResumption()) {
      call.continueWith(body(call, attempt, response));
    } else if (response.entity() instanceof HttpEntity.Strict whole) {
      events.accept(new ForwardEvent.BodyStarted(call.head().id()));
      complete(call, attempt, endToEndHead(response).withEntity(whole));
      attempt.end(new ForwardAttemptOutcome.Completed());
    } else {
      passAfterFirstPart(call, attempt, response);
    }
  }

  /**
   * Passes the answer on with the first part of its body, since one that fails before it would end
   * the caller's connection without a byte; the decision about the failure answers the caller then.
   */
  private void passAfterFirstPart(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    var _ =
        monitoredBody(call, attempt, response)
            .prefixAndTail(1)
            .runWith(Sink.head(), http.actors())
            .thenAccept(
                parts -> {
                  Source<ByteString, NotUsed> bytes =
                      Source.from(parts.first()).concat(parts.second());
                  HttpResponse answer =
                      endToEndHead(response).withEntity(entityLike(response.entity(), bytes));
                  complete(call, attempt, answer);
                });
  }

  private static void complete(PendingForward call, ForwardAttempt attempt, HttpResponse answer) {
    if (!call.response().complete(answer)) {
      attempt.cancel();
    }
  }

  private void onResponse(PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    Optional<Failure> relayFailure =
        attempt.sendAction().relay().flatMap(_ -> RelayHeaders.findFailure(response));
    if (relayFailure.isPresent()) {
      attempt.failIfWaiting(relayFailure.get());
    } else {
      attempt.onResponseHead(response, dialect.parseResponseHead(response, call.head()));
    }
  }

  private Cancellable scheduleFirstByteTimeout(ForwardAttempt attempt) {
    ForwardAction.Send sendAction = attempt.sendAction();
    if (sendAction.firstByteTimeout().compareTo(sendAction.timeLeft()) >= 0) {
      return Cancellable.alreadyCancelled();
    }
    return http.actors()
        .scheduler()
        .scheduleOnce(
            sendAction.firstByteTimeout(),
            () ->
                attempt.failIfWaiting(
                    Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the endpoint stayed silent")),
            http.actors().dispatcher());
  }

  private static HttpResponse endToEndHead(HttpResponse response) {
    List<HttpHeader> headers = HopByHopHeaders.endToEnd(response.getHeaders());
    return HttpResponse.create().withStatus(response.status()).addHeaders(headers);
  }

  /** Returns the body, whose begin, pace and end are reported as it passes. */
  private Source<ByteString, NotUsed> monitoredBody(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    return body(call, attempt, response)
        .via(
            new ResponseMonitor(
                time,
                () -> events.accept(new ForwardEvent.BodyStarted(call.head().id())),
                pause -> reportMeanGap(call, attempt, pause),
                end -> call.latestAttempt().orElse(attempt).end(end)));
  }

  private void reportMeanGap(PendingForward call, ForwardAttempt first, Duration meanGap) {
    ForwardAction.Send running = call.latestAttempt().orElse(first).sendAction();
    events.accept(new ForwardEvent.EventGapMeasured(running.id(), running.attempt(), meanGap));
  }

  private static ResponseEntity entityLike(ResponseEntity from, Source<ByteString, NotUsed> bytes) {
    OptionalLong length = from.getContentLengthOption();
    return length.isPresent()
        ? HttpEntities.create(from.getContentType(), length.getAsLong(), bytes)
        : HttpEntities.createChunked(from.getContentType(), bytes);
  }

  private Source<ByteString, NotUsed> body(
      PendingForward call, ForwardAttempt attempt, HttpResponse response) {
    Source<ByteString, NotUsed> bytes =
        response
            .entity()
            .withoutSizeLimit()
            .getDataBytes()
            .mapMaterializedValue(_ -> NotUsed.getInstance());
    if (!attempt.sendAction().isResumable() || response.status().isFailure()) {
      return bytes;
    }
    Source<ByteString, NotUsed> events =
        bytes
            .idleTimeout(attempt.sendAction().streamIdleTimeout())
            .via(new EventFraming(call::recordPassedEvents, maxEvents(call.head())));
    return attempt.sendAction().isResumption()
        ? events
        : events.recoverWithRetries(MAX_RESUMPTIONS, resumeAfterFailure(call));
  }

  /** Returns how many events may come; an event holds a token at least, or opens or closes. */
  private static long maxEvents(ForwardRequest head) {
    long tokens = head.declaredTokens().orElse(0);
    return tokens > 0 ? tokens + EXTRA_EVENTS : Long.MAX_VALUE;
  }

  private static PartialFunction<Throwable, Graph<SourceShape<ByteString>, NotUsed>>
      resumeAfterFailure(PendingForward call) {
    return new PFBuilder<Throwable, Graph<SourceShape<ByteString>, NotUsed>>()
        .match(
            Throwable.class,
            error -> !(error instanceof OverlongResponseException),
            error -> failAndAwaitContinuation(call, ResponseFailures.of(error)))
        .build();
  }

  /** Reports that the running attempt broke off, and waits for what goes on after it. */
  private static Source<ByteString, NotUsed> failAndAwaitContinuation(
      PendingForward call, Failure why) {
    CompletableFuture<Source<ByteString, NotUsed>> rest = call.awaitContinuation();
    call.latestAttempt().ifPresent(attempt -> attempt.end(new ForwardAttemptOutcome.Failed(why)));
    return Source.completionStageSource(rest).mapMaterializedValue(_ -> NotUsed.getInstance());
  }
}
