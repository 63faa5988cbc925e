package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.shell.http.BodyReader;
import org.cuminwell.shell.http.HttpResponses;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.wire.EndpointJson;
import org.cuminwell.wire.WireFormatException;

/** Hears endpoints and answers those who watch the process. Thread safe. */
final class InnerFront {

  private static final String ANNOUNCE = "/v1/endpoints/announce";
  private static final String LOAD = "/v1/endpoints/load";
  private static final String LEAVE = "/v1/endpoints/leave";

  private final HttpSystem http;
  private final EventSink events;
  private final OpsPages pages;

  InnerFront(HttpSystem http, EventSink events, OpsPages pages) {
    this.http = http;
    this.events = events;
    this.pages = pages;
  }

  /** Handles one request; the stage never fails. */
  CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    return switch (path) {
      case ANNOUNCE, LOAD, LEAVE -> hear(path, request);
      default ->
          CompletableFuture.completedFuture(
              pages.find(request).orElseGet(() -> HttpResponses.text(404, "no such page\n")));
    };
  }

  private CompletionStage<HttpResponse> hear(String path, HttpRequest request) {
    if (!request.method().equals(HttpMethods.POST)) {
      BodyReader.leaveUnread(request, http.actorSystem());
      return CompletableFuture.completedFuture(HttpResponses.text(405, "use POST\n"));
    }
    return BodyReader.read(request, http.actorSystem())
        .thenApply(body -> hear(path, body.toArray()))
        .exceptionally(
            error -> HttpResponses.text(400, BodyReader.failureOf(error).message() + "\n"));
  }

  private HttpResponse hear(String path, byte[] body) {
    try {
      return events.offer(eventOf(path, body))
          ? HttpResponses.json(200, JsonNodeFactory.instance.objectNode().put("heard", true))
          : HttpResponses.text(503, "busy; try again\n");
    } catch (WireFormatException e) {
      return HttpResponses.text(400, e.getMessage() + "\n");
    }
  }

  private static GatewayEvent eventOf(String path, byte[] body) throws WireFormatException {
    return switch (path) {
      case ANNOUNCE -> new GatewayEvent.EndpointAnnounced(EndpointJson.readAnnouncement(body));
      case LOAD -> new GatewayEvent.EndpointReported(EndpointJson.readLoad(body));
      default -> {
        var leave = EndpointJson.readLeave(body);
        yield new GatewayEvent.EndpointLeaving(leave.endpoint(), leave.incarnation());
      }
    };
  }
}
