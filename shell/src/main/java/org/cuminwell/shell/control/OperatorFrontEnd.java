package org.cuminwell.shell.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.ControlView;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer;
import org.cuminwell.shell.http.BodyReader;
import org.cuminwell.shell.http.HttpResponses;
import org.cuminwell.shell.http.HttpSystem;
import org.cuminwell.shell.http.OpsPages;
import org.cuminwell.wire.TicketJson;
import org.cuminwell.wire.ViewJson;

/**
 * Serves operators over HTTP: tickets, status, the event stream and the screen, besides the
 * monitoring pages. Thread safe.
 */
final class OperatorFrontEnd {

  private static final String TICKETS_PATH = "/v1/tickets";
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

  private final HttpSystem http;
  private final OpsPages pages;
  private final OperatorAccess access;
  private final Predicate<ControlEvent> events;
  private final ConcurrentHashMap<RequestId, CompletableFuture<HttpResponse>> pendingResponses =
      new ConcurrentHashMap<>();
  private volatile ControlView view;

  OperatorFrontEnd(
      HttpSystem http,
      OpsPages pages,
      OperatorAccess access,
      Predicate<ControlEvent> events,
      ControlView initialView) {
    this.http = http;
    this.pages = pages;
    this.access = access;
    this.events = events;
    this.view = initialView;
  }

  /** Replaces the view that responses are built from. */
  void updateView(ControlView latest) {
    view = latest;
  }

  /** Sends the answer to a ticket to the operator whose request is pending under the id. */
  void completeWithAnswer(RequestId id, TicketAnswer answer) {
    complete(id, toResponse(answer));
  }

  /**
   * Sends a failure to the operator whose request is pending under the id. Its verdict says whether
   * the ticket may still have been accepted.
   */
  void completeWithFailure(RequestId id, Failure failure) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("code", failure.code().label())
        .put("message", failure.message())
        .put("verdict", failure.verdict().label());
    complete(id, HttpResponses.json(failure.code().httpStatus(), body));
  }

  private void complete(RequestId id, HttpResponse response) {
    CompletableFuture<HttpResponse> waiter = pendingResponses.remove(id);
    if (waiter != null) {
      waiter.complete(response);
    }
  }

  /**
   * Handles one request. All but the monitoring pages require an operator's credentials. The stage
   * never completes exceptionally.
   */
  CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    Optional<HttpResponse> monitoring = findMonitoringPage(path);
    if (monitoring.isEmpty() && !access.allows(request)) {
      BodyReader.leaveUnread(request, http.actorSystem());
      return CompletableFuture.completedFuture(unauthorized());
    }
    if (path.startsWith(TICKETS_PATH + "/")) {
      return handleTicket(path.substring(TICKETS_PATH.length() + 1), request);
    }
    return CompletableFuture.completedFuture(handlePage(path, request));
  }

  private HttpResponse handlePage(String path, HttpRequest request) {
    BodyReader.leaveUnread(request, http.actorSystem());
    return switch (path) {
      case "/" -> screen();
      case TICKETS_PATH ->
          HttpResponses.json(200, ViewJson.write(view).retain("revision", "tickets"));
      case "/v1/status" -> HttpResponses.json(200, ViewJson.write(view));
      case "/v1/events" -> eventStream();
      default -> findMonitoringPage(path).orElseGet(() -> error(404, "there is no such page"));
    };
  }

  private Optional<HttpResponse> findMonitoringPage(String path) {
    return pages.find(path).map(page -> HttpResponses.text(page.status(), page.text()));
  }

  private CompletionStage<HttpResponse> handleTicket(String text, HttpRequest request) {
    Optional<TicketNumber> number = parseTicketNumber(text);
    if (number.isEmpty()) {
      BodyReader.leaveUnread(request, http.actorSystem());
      return CompletableFuture.completedFuture(
          error(400, "a ticket number is a whole number of at least 1; found '" + text + "'"));
    }
    if (request.method().equals(HttpMethods.PUT)) {
      return BodyReader.read(request, http.actorSystem())
          .thenCompose(body -> submit(number.get(), body))
          .exceptionally(failure -> error(400, BodyReader.failureOf(failure).message()));
    }
    BodyReader.leaveUnread(request, http.actorSystem());
    return CompletableFuture.completedFuture(
        request.method().equals(HttpMethods.GET)
            ? findTicket(number.get())
            : error(405, "use PUT to submit a ticket and GET to see it"));
  }

  private CompletionStage<HttpResponse> submit(TicketNumber number, ByteString body) {
    return switch (TicketJson.read(number, body.toArray())) {
      case TicketJson.Result.Faulty faulty ->
          CompletableFuture.completedFuture(
              HttpResponses.json(422, ViewJson.write(faulty.faults())));
      case TicketJson.Result.Read read -> submit(read.ticket());
    };
  }

  private CompletionStage<HttpResponse> submit(Ticket ticket) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    CompletableFuture<HttpResponse> waiter = new CompletableFuture<>();
    pendingResponses.put(id, waiter);
    if (!events.test(new ControlEvent.TicketSubmitted(id, ticket))) {
      pendingResponses.remove(id);
      return CompletableFuture.completedFuture(
          error(503, "this control host is busy; the ticket was not accepted; submit it again"));
    }
    return waiter
        .orTimeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(
            timeout -> {
              pendingResponses.remove(id);
              return error(504, "the outcome of the ticket is unknown; submit it again to see it");
            });
  }

  private HttpResponse toResponse(TicketAnswer answer) {
    int status =
        switch (answer) {
          case TicketAnswer.Accepted a -> 200;
          case TicketAnswer.Conflict c -> 409;
          case TicketAnswer.Refused r -> 422;
        };
    return HttpResponses.json(status, ViewJson.write(answer, view));
  }

  private HttpResponse findTicket(TicketNumber number) {
    ControlView currentView = view;
    return currentView.tickets().stream()
        .filter(ticket -> ticket.ticket().number().equals(number))
        .findFirst()
        .map(ticket -> HttpResponses.json(200, ViewJson.write(ticket, currentView)))
        .orElseGet(() -> error(404, "no ticket " + number + " was accepted"));
  }

  private HttpResponse eventStream() {
    return HttpResponse.create()
        .withEntity(
            HttpEntities.createChunked(
                MediaTypes.TEXT_EVENT_STREAM.toContentType(), ViewEvents.stream(() -> view)));
  }

  private static HttpResponse screen() {
    return HttpResponse.create().withEntity(ContentTypes.TEXT_HTML_UTF8, ScreenPage.html());
  }

  private static Optional<TicketNumber> parseTicketNumber(String text) {
    try {
      return Optional.of(new TicketNumber(Long.parseLong(text)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static HttpResponse unauthorized() {
    return error(401, "operator credentials required: send your name and token by HTTP Basic")
        .addHeader(RawHeader.create("WWW-Authenticate", "Basic realm=\"cuminwell\""));
  }

  private static HttpResponse error(int status, String message) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error").put("message", message);
    return HttpResponses.json(status, body);
  }
}
