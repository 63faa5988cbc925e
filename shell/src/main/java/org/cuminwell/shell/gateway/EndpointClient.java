package org.cuminwell.shell.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.stream.StreamSupport;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.gateway.AttemptOutcome;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Usage;
import org.cuminwell.shell.http.HttpResponses;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.SingleCall;

/**
 * Carries attempts to endpoints and reports how each ended.
 *
 * <p>Each attempt has a connection of its own. So a connection that could not be made means that
 * the request has not run, no answer can cross to another request, and what went silent is closed
 * with its attempt. Every attempt is reported exactly once. Thread safe.
 */
final class EndpointClient {

  /** The header that names the request to the endpoint, which must return it. */
  static final String ID_HEADER = "X-Request-Id";

  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNPROCESSABLE = 422;

  private final HttpSystem http;
  private final Consumer<GatewayEvent> events;
  private final ClientConnectionSettings settings;

  EndpointClient(HttpSystem http, Consumer<GatewayEvent> events) {
    this.http = http;
    this.events = events;
    this.settings = SingleCall.clientSettings(http, CONNECT_TIMEOUT);
  }

  /** Starts the attempt and returns at once. */
  void send(PendingCall call, SendToEndpoint order) {
    EndpointAttempt attempt = new EndpointAttempt(order, call.cancelled(), events);
    if (!call.tryAttempt(attempt)) {
      return;
    }
    boolean completion = call.request().getUri().path().equals(COMPLETIONS_PATH);
    HttpRequest request = completion ? completionRequest(call) : plainRequest(call, order);
    Cancellable patience = giveUpLater(attempt);
    var _ =
        attempt
            .connection()
            .send(http, settings, attempt.order().address(), request)
            .thenCompose(
                response ->
                    completion
                        ? passCompletion(call, attempt, response)
                        : passPlain(call, attempt, response))
            .whenComplete(
                (_, error) -> {
                  patience.cancel();
                  if (error != null) {
                    attempt.giveUp(
                        new AttemptOutcome.Failed(SingleCall.failureOf(error), Usage.NONE));
                  }
                });
  }

  private Cancellable giveUpLater(EndpointAttempt attempt) {
    Duration patience = attempt.order().firstByteTimeout();
    boolean deadline = patience.equals(attempt.order().timeout());
    Failure failure =
        deadline
            ? Failure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "the endpoint did not answer in time")
            : Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the endpoint stayed silent");
    return http.actorSystem()
        .scheduler()
        .scheduleOnce(
            patience.isNegative() ? Duration.ZERO : patience,
            () -> attempt.giveUp(new AttemptOutcome.Failed(failure, Usage.NONE)),
            http.actorSystem().dispatcher());
  }

  private static HttpRequest completionRequest(PendingCall call) {
    return HttpRequest.POST(COMPLETIONS_PATH)
        .addHeader(RawHeader.create(ID_HEADER, call.id().value()))
        .addHeader(RawHeader.create("Connection", "close"))
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, call.body()));
  }

  private static HttpRequest plainRequest(PendingCall call, SendToEndpoint order) {
    HttpRequest from = call.request();
    return HttpRequest.create(restOfPath(from) + OutgoingHeaders.query(from))
        .withMethod(from.method())
        .addHeaders(OutgoingHeaders.headers(from))
        .addHeader(RawHeader.create("Host", order.address().toString()))
        .addHeader(RawHeader.create(ID_HEADER, call.id().value()))
        .addHeader(RawHeader.create("Connection", "close"))
        .withEntity(HttpEntities.create(from.entity().getContentType(), call.body()));
  }

  private CompletionStage<Void> passCompletion(
      PendingCall call, EndpointAttempt attempt, HttpResponse response) {
    int status = response.status().intValue();
    if (status == OK && !isAnswerTo(call, response)) {
      attempt.giveUp(failed(ErrorCode.INCOMPLETE_ANSWER, "the answer is to another request"));
      return CompletableFuture.completedFuture(null);
    }
    return status == OK && call.isStream()
        ? passStream(call, attempt, response)
        : passWhole(call, attempt, response);
  }

  /** Passes checked parts on as they come; without any, the attempt has been reported as failed. */
  private CompletionStage<Void> passStream(
      PendingCall call, EndpointAttempt attempt, HttpResponse response) {
    return response
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .via(new AnswerStage(attempt))
        .prefixAndTail(1)
        .runWith(Sink.head(), http.actorSystem())
        .thenAccept(
            parts -> {
              if (!parts.first().isEmpty()) {
                Source<ByteString, ?> answer = Source.from(parts.first()).concat(parts.second());
                call.succeed(
                    answer(call)
                        .withEntity(
                            HttpEntities.createChunked(
                                MediaTypes.TEXT_EVENT_STREAM.toContentType(), answer)));
              }
            });
  }

  private CompletionStage<Void> passWhole(
      PendingCall call, EndpointAttempt attempt, HttpResponse response) {
    return strict(response)
        .thenAccept(
            body -> {
              switch (response.status().intValue()) {
                case OK -> passJson(call, attempt, body);
                case BAD_REQUEST, UNPROCESSABLE -> passRefusal(call, attempt, response, body);
                default -> attempt.giveUp(endpointFailure(response));
              }
            });
  }

  private void keep(
      PendingCall call, EndpointAttempt attempt, HttpResponse response, ByteString body) {
    if (call.idempotencyKey().isPresent()) {
      CallOutcome callOutcome =
          CallOutcome.answered(
              response.status().intValue(),
              response.entity().getContentType().toString(),
              body.toArray());
      var order = attempt.order();
      events.accept(
          new GatewayEvent.ReplayableResponseReceived(order.id(), order.attempt(), callOutcome));
    }
  }

  private static void passJson(PendingCall call, EndpointAttempt attempt, ByteString body) {
    try {
      Usage usage = AnswerCheck.usageOf(body.toArray());
      if (attempt.tryAnswer()) {
        call.succeed(
            answer(call).withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, body)));
        attempt.ended(new AttemptOutcome.Completed(usage));
      }
    } catch (IOException e) {
      attempt.giveUp(
          failed(ErrorCode.INCOMPLETE_ANSWER, "the endpoint's answer is not a whole completion"));
    }
  }

  /** Passes on that the engine finds the request itself at fault; it would do so anywhere. */
  private static void passRefusal(
      PendingCall call, EndpointAttempt attempt, HttpResponse response, ByteString body) {
    if (!isAnswerTo(call, response)) {
      attempt.giveUp(endpointFailure(response));
    } else if (attempt.tryAnswer()) {
      call.succeed(
          answer(call)
              .withStatus(response.status())
              .withEntity(HttpEntities.create(response.entity().getContentType(), body)));
      attempt.ended(new AttemptOutcome.Completed(Usage.NONE));
    }
  }

  private CompletionStage<Void> passPlain(
      PendingCall call, EndpointAttempt attempt, HttpResponse response) {
    if (response.getHeader(ID_HEADER).isPresent() && !isAnswerTo(call, response)) {
      attempt.giveUp(failed(ErrorCode.INCOMPLETE_ANSWER, "the answer is to another request"));
      return CompletableFuture.completedFuture(null);
    }
    return strict(response)
        .thenAccept(
            body -> {
              if (attempt.tryAnswer()) {
                call.succeed(
                    answer(call)
                        .withStatus(response.status())
                        .addHeaders(endToEndHeaders(response))
                        .withEntity(HttpEntities.create(response.entity().getContentType(), body)));
                keep(call, attempt, response, body);
                attempt.ended(new AttemptOutcome.Completed(Usage.NONE));
              }
            });
  }

  private CompletionStage<ByteString> strict(HttpResponse response) {
    return response
        .entity()
        .withSizeLimit(MAX_ANSWER_BYTES)
        .getDataBytes()
        .runFold(ByteString.emptyByteString(), ByteString::concat, http.actorSystem());
  }

  private static boolean isAnswerTo(PendingCall call, HttpResponse response) {
    return response
        .getHeader(ID_HEADER)
        .filter(header -> header.value().equals(call.id().value()))
        .isPresent();
  }

  private static HttpResponse answer(PendingCall call) {
    return HttpResponse.create()
        .addHeader(RawHeader.create(HttpResponses.REQUEST_ID_HEADER, call.id().value()));
  }

  private static List<HttpHeader> endToEndHeaders(HttpResponse response) {
    return StreamSupport.stream(response.getHeaders().spliterator(), false)
        .filter(header -> !header.is("connection") && !header.is("keep-alive"))
        .toList();
  }

  private static AttemptOutcome.Failed endpointFailure(HttpResponse response) {
    Failure failure =
        Failure.mayHaveRun(
            ErrorCode.ENDPOINT_FAILED,
            "the endpoint answered with status " + response.status().intValue());
    return new AttemptOutcome.Failed(
        retryAfter(response).map(failure::withRetryAfter).orElse(failure), Usage.NONE);
  }

  private static Optional<Duration> retryAfter(HttpResponse response) {
    return response
        .getHeader("Retry-After")
        .map(HttpHeader::value)
        .filter(value -> value.matches("[0-9]{1,5}"))
        .map(value -> Duration.ofSeconds(Long.parseLong(value)));
  }

  private static AttemptOutcome.Failed failed(ErrorCode code, String message) {
    return new AttemptOutcome.Failed(Failure.mayHaveRun(code, message), Usage.NONE);
  }

  /** Returns the path after {@code /r/ROUTE}. */
  private static String restOfPath(HttpRequest request) {
    String path = request.getUri().getPathString();
    int end = path.indexOf('/', CallerFront.PLAIN_PREFIX.length());
    return end < 0 ? "/" : path.substring(end);
  }
}
