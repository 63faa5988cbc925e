package org.cuminwell.shell.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.ConnectHttp;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.BufferOverflowException;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.gateway.AttemptEnd;
import org.cuminwell.core.gateway.GatewayAction.SendToEndpoint;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.idempotency.Outcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.Usage;
import org.cuminwell.shell.http.HttpAnswers;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Carries attempts to endpoints and reports how each ended.
 *
 * <p>Every attempt is reported exactly once. A request whose connection could not be made has not
 * run; after that it may have. Thread safe.
 */
final class EndpointClient {

  /** The header that names the request to the endpoint, which must return it. */
  static final String ID_HEADER = "X-Request-Id";

  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final long MAX_ANSWER_BYTES = 16L * 1024 * 1024;
  private static final int OK = 200;

  private final HttpSystem http;
  private final Consumer<GatewayEvent> events;

  EndpointClient(HttpSystem http, Consumer<GatewayEvent> events) {
    this.http = http;
    this.events = events;
  }

  /** Starts the attempt and returns at once. */
  void send(PendingCall call, SendToEndpoint attempt) {
    boolean completion = call.request().getUri().path().equals(COMPLETIONS_PATH);
    if (completion) {
      sendCompletion(call, attempt);
    } else {
      sendPlain(call, attempt);
    }
  }

  private void sendCompletion(PendingCall call, SendToEndpoint attempt) {
    HttpRequest request =
        HttpRequest.POST("http://" + attempt.address() + COMPLETIONS_PATH)
            .addHeader(RawHeader.create(ID_HEADER, call.id().value()))
            .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, call.body()));
    var _ =
        within(http.http().singleRequest(request), attempt.timeout())
            .thenCompose(
                response ->
                    call.isStream() && response.status().intValue() == OK
                        ? passStream(call, attempt, response)
                        : passWhole(call, attempt, response))
            .whenComplete((_, error) -> failIfNeeded(attempt, error));
  }

  /** Sends a call over a connection of its own, so that the verdict of a failure is sharp. */
  private void sendPlain(PendingCall call, SendToEndpoint attempt) {
    HttpRequest from = call.request();
    HttpRequest request =
        HttpRequest.create(restOfPath(from) + OutgoingHeaders.query(from))
            .withMethod(from.method())
            .addHeaders(OutgoingHeaders.headers(from))
            .addHeader(RawHeader.create("Host", attempt.address().toString()))
            .addHeader(RawHeader.create(ID_HEADER, call.id().value()))
            .withEntity(HttpEntities.create(from.entity().getContentType(), call.body()));
    ConnectHttp target =
        ConnectHttp.toHost("http://" + attempt.address().host(), attempt.address().port());
    CompletionStage<HttpResponse> answer =
        Source.single(request)
            .via(http.http().outgoingConnection(target))
            .runWith(Sink.head(), http.actors());
    var _ =
        within(answer, attempt.timeout())
            .thenCompose(response -> passPlain(call, attempt, response))
            .whenComplete((_, error) -> failIfNeeded(attempt, error));
  }

  private CompletionStage<Void> passStream(
      PendingCall call, SendToEndpoint attempt, HttpResponse response) {
    return response
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .prefixAndTail(1)
        .runWith(Sink.head(), http.actors())
        .thenAccept(
            parts -> {
              List<ByteString> first = parts.first();
              events.accept(new GatewayEvent.AnswerBegan(attempt.id(), attempt.attempt()));
              Source<ByteString, ?> answer =
                  Source.from(first)
                      .concat(parts.second())
                      .via(
                          new AnswerStage(call.id(), call.cancelled(), end -> ended(attempt, end)));
              call.succeed(
                  HttpResponse.create()
                      .addHeader(RawHeader.create(HttpAnswers.REQUEST_ID_HEADER, call.id().value()))
                      .withEntity(
                          HttpEntities.createChunked(
                              MediaTypes.TEXT_EVENT_STREAM.toContentType(), answer)));
            });
  }

  private CompletionStage<Void> passWhole(
      PendingCall call, SendToEndpoint attempt, HttpResponse response) {
    return strict(response, attempt.timeout())
        .thenAccept(
            body -> {
              if (response.status().intValue() != OK) {
                ended(attempt, endpointFailure(response));
                return;
              }
              try {
                Usage usage = AnswerCheck.usageOf(body.toArray());
                call.succeed(
                    HttpResponse.create()
                        .addHeader(
                            RawHeader.create(HttpAnswers.REQUEST_ID_HEADER, call.id().value()))
                        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, body)));
                ended(attempt, new AttemptEnd.Completed(usage));
              } catch (IOException e) {
                ended(attempt, incomplete("the endpoint's answer is not whole JSON"));
              }
            });
  }

  private CompletionStage<Void> passPlain(
      PendingCall call, SendToEndpoint attempt, HttpResponse response) {
    return strict(response, attempt.timeout())
        .thenAccept(
            body -> {
              List<HttpHeader> headers =
                  java.util.stream.StreamSupport.stream(response.getHeaders().spliterator(), false)
                      .filter(header -> !header.is("connection"))
                      .toList();
              call.succeed(
                  HttpResponse.create()
                      .withStatus(response.status())
                      .addHeaders(headers)
                      .addHeader(RawHeader.create(HttpAnswers.REQUEST_ID_HEADER, call.id().value()))
                      .withEntity(HttpEntities.create(response.entity().getContentType(), body)));
              keep(call, attempt, response, body);
              ended(attempt, new AttemptEnd.Completed(Usage.NONE));
            });
  }

  private void keep(
      PendingCall call, SendToEndpoint attempt, HttpResponse response, ByteString body) {
    if (call.idempotencyKey().isPresent()) {
      Outcome outcome =
          Outcome.answered(
              response.status().intValue(),
              response.entity().getContentType().toString(),
              body.toArray());
      events.accept(new GatewayEvent.AnswerKept(attempt.id(), attempt.attempt(), outcome));
    }
  }

  private CompletionStage<ByteString> strict(HttpResponse response, Duration timeout) {
    return response
        .entity()
        .withSizeLimit(MAX_ANSWER_BYTES)
        .toStrict(timeout.toMillis(), http.actors())
        .thenApply(entity -> entity.getData());
  }

  private void failIfNeeded(SendToEndpoint attempt, Throwable error) {
    if (error != null) {
      ended(attempt, new AttemptEnd.Failed(failureOf(error), Usage.NONE));
    }
  }

  private void ended(SendToEndpoint attempt, AttemptEnd end) {
    events.accept(new GatewayEvent.AttemptEnded(attempt.id(), attempt.attempt(), end));
  }

  private static <T> CompletableFuture<T> within(CompletionStage<T> stage, Duration timeout) {
    return stage.toCompletableFuture().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static AttemptEnd endpointFailure(HttpResponse response) {
    return new AttemptEnd.Failed(
        Failure.mayHaveRun(
            ErrorCode.ENDPOINT_FAILED,
            "the endpoint answered with status " + response.status().intValue()),
        Usage.NONE);
  }

  private static AttemptEnd incomplete(String message) {
    return new AttemptEnd.Failed(
        Failure.mayHaveRun(ErrorCode.INCOMPLETE_ANSWER, message), Usage.NONE);
  }

  private static Failure failureOf(Throwable error) {
    Throwable cause = error;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof BufferOverflowException) {
      return Failure.notRun(ErrorCode.BUSY, "too many requests wait for the endpoint");
    }
    if (cause instanceof StreamTcpException
        && String.valueOf(cause.getMessage()).contains("Connect(")) {
      return Failure.notRun(ErrorCode.ENDPOINT_FAILED, "the endpoint takes no connection");
    }
    if (cause instanceof java.util.concurrent.TimeoutException) {
      return Failure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "the endpoint did not answer in time");
    }
    return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint broke");
  }

  /** Returns the path after {@code /r/ROUTE}. */
  private static String restOfPath(HttpRequest request) {
    String path = request.getUri().getPathString();
    int end = path.indexOf('/', CallerFront.PLAIN_PREFIX.length());
    return end < 0 ? "/" : path.substring(end);
  }
}
