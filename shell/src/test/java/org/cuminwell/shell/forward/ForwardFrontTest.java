package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.routing.Prompt;
import org.cuminwell.shell.http.ClientConnections;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.cuminwell.shell.http.HttpSystem;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which events are reported for a request whose caller disconnects: an open request whose
 * caller has disconnected must not be left running without a report.
 */
final class ForwardFrontTest {

  private static final long WAIT_SECONDS = 20;
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  /** When the caller disconnects, relative to the reading of its request body. */
  enum DisconnectTime {
    NEVER,
    BEFORE,
    WHILE_READ,
    AFTER
  }

  @ParameterizedTest(name = "the caller disconnects: {0}")
  @CsvSource({
    "NEVER, RequestReceived",
    "BEFORE, ''",
    "WHILE_READ, ''",
    "AFTER, RequestReceived CallerDisconnected"
  })
  void disconnectOfCallerIsReportedForEveryOpenRequest(
      DisconnectTime disconnectTime, String events) {
    List<String> seen = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> opened = new CompletableFuture<>();
    CompletableFuture<ByteString> body = new CompletableFuture<>();
    try (HttpSystem http = HttpSystem.start("test")) {
      Predicate<ForwardEvent> offer =
          event -> {
            seen.add(event.getClass().getSimpleName());
            return opened.complete(null);
          };
      Consumer<ForwardEvent> force = event -> seen.add(event.getClass().getSimpleName());
      var front =
          new ForwardFront(
              http,
              InstantSource.fixed(NOW),
              new ClientConnections(http, InstantSource.fixed(NOW), 512),
              new Plain(),
              offer,
              force);
      HttpConnectionHandler newConnection = front.newConnection();
      disconnectIf(newConnection, disconnectTime == DisconnectTime.BEFORE);
      CompletableFuture<HttpResponse> response =
          newConnection.handle(request(body)).toCompletableFuture();
      disconnectIf(newConnection, disconnectTime == DisconnectTime.WHILE_READ);
      body.complete(ByteString.fromString("body"));
      CompletableFuture.anyOf(opened, response).orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
      disconnectIf(newConnection, disconnectTime == DisconnectTime.AFTER);
    }
    assertThat(String.join(" ", seen)).isEqualTo(events);
  }

  /** Reports the end of the connection if it is time to. */
  private static void disconnectIf(HttpConnectionHandler connection, boolean now) {
    if (now) {
      connection.onDisconnected();
    }
  }

  private static HttpRequest request(CompletableFuture<ByteString> body) {
    return HttpRequest.POST("/a")
        .withEntity(
            HttpEntities.createChunked(
                ContentTypes.APPLICATION_OCTET_STREAM, Source.completionStage(body)));
  }

  /** A dialect that reads nothing from requests. Stateless. */
  private static final class Plain implements ForwardDialect {

    @Override
    public ForwardRequest parseRequest(RequestId id, HttpRequest request, Instant arrivedAt) {
      return new ForwardRequest(
          id,
          "caller-1",
          "host",
          "/a",
          Optional.empty(),
          arrivedAt,
          Optional.empty(),
          OptionalLong.empty(),
          new Prompt(List.of()));
    }

    @Override
    public HttpRequest endpointRequest(
        HttpRequest from,
        ByteString body,
        ForwardRequest head,
        ForwardAction.Send order,
        Optional<String> lastEventId) {
      return from;
    }

    @Override
    public ResponseHead parseResponseHead(HttpResponse response, ForwardRequest head) {
      throw new UnsupportedOperationException("no endpoint responds in this test");
    }

    @Override
    public HttpResponse failureResponse(Optional<ForwardRequest> head, Failure failure) {
      return HttpResponse.create().withStatus(503);
    }

    @Override
    public HttpRequest warmUpRequest(int number) {
      return HttpRequest.GET("/a");
    }

    @Override
    public HttpResponse warmUpResponse(HttpRequest request) {
      return HttpResponse.create();
    }

    @Override
    public HttpResponse readinessResponse(HttpRequest request, boolean ready) {
      return HttpResponse.create();
    }
  }
}
