package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.wire.EndpointJson;
import org.cuminwell.wire.WireFormatException;

/** Hears endpoints and answers those who watch the process. Thread safe. */
final class InnerFront {

  private static final String ANNOUNCE = "/v1/endpoints/announce";
  private static final String LOAD = "/v1/endpoints/load";
  private static final String LEAVE = "/v1/endpoints/leave";

  private final EventSink events;
  private final OpsPages pages;

  InnerFront(EventSink events, OpsPages pages) {
    this.events = events;
    this.pages = pages;
  }

  /** Handles one request. */
  void handle(RequestMessage request, ResponseWriter writer) {
    writer.respond(respond(request));
  }

  private ResponseMessage respond(RequestMessage request) {
    String path = request.path();
    return switch (path) {
      case ANNOUNCE, LOAD, LEAVE ->
          request.method().equals("POST")
              ? hear(path, request.body())
              : ResponseMessage.text(405, "use POST\n");
      default ->
          pages
              .find(path)
              .map(page -> ResponseMessage.text(page.status(), page.text()))
              .orElseGet(() -> ResponseMessage.text(404, "no such page\n"));
    };
  }

  private ResponseMessage hear(String path, byte[] body) {
    try {
      return events.offer(eventOf(path, body))
          ? ResponseMessage.json(200, JsonNodeFactory.instance.objectNode().put("heard", true))
          : ResponseMessage.text(503, "busy; try again\n");
    } catch (WireFormatException e) {
      return ResponseMessage.text(400, e.getMessage() + "\n");
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
