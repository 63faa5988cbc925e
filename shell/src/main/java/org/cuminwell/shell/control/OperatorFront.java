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

/** Serves operators: tickets, events and the screen. Thread safe. */
final class OperatorFront {

  private static final String TICKETS = "/v1/tickets";
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

  private final HttpSystem http;
  private final OpsPages pages;
  private final OperatorAccess access;
  private final Predicate<ControlEvent> events;
  private final ConcurrentHashMap<RequestId, CompletableFuture<HttpResponse>> waiting =
      new ConcurrentHashMap<>();
  private volatile ControlView view;

  OperatorFront(
      HttpSystem http,
      OpsPages pages,
      OperatorAccess access,
      Predicate<ControlEvent> events,
      ControlView first) {
    this.http = http;
    this.pages = pages;
    this.access = access;
    this.events = events;
    this.view = first;
  }

  /** Shows a new state from now on. */
  void show(ControlView latest) {
    view = latest;
  }

  /** Passes the answer to the operator who waits for it. */
  void answer(RequestId id, TicketAnswer answer) {
    complete(id, answerOf(answer));
  }

  /** Tells the operator who waits that there is no answer, and whether the ticket may yet stand. */
  void fail(RequestId id, Failure failure) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("code", failure.code().label())
        .put("message", failure.message())
        .put("verdict", failure.verdict().label());
    complete(id, HttpResponses.json(failure.code().httpStatus(), body));
  }

  private void complete(RequestId id, HttpResponse response) {
    CompletableFuture<HttpResponse> waiter = waiting.remove(id);
    if (waiter != null) {
      waiter.complete(response);
    }
  }

  /** Handles one request; the stage never fails. */
  CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    Optional<HttpResponse> monitoring = pages.find(request);
    if (monitoring.isEmpty() && !access.allows(request)) {
      BodyReader.leaveUnread(request, http.actorSystem());
      return CompletableFuture.completedFuture(unproven());
    }
    if (path.startsWith(TICKETS + "/")) {
      return ticket(path.substring(TICKETS.length() + 1), request);
    }
    return CompletableFuture.completedFuture(page(path, request));
  }

  private HttpResponse page(String path, HttpRequest request) {
    BodyReader.leaveUnread(request, http.actorSystem());
    return switch (path) {
      case "/" -> screen();
      case TICKETS -> HttpResponses.json(200, ViewJson.write(view).retain("revision", "tickets"));
      case "/v1/status" -> HttpResponses.json(200, ViewJson.write(view));
      case "/v1/events" -> eventStream();
      default -> pages.find(request).orElseGet(() -> error(404, "there is no such page"));
    };
  }

  private CompletionStage<HttpResponse> ticket(String text, HttpRequest request) {
    Optional<TicketNumber> number = numberOf(text);
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
            ? find(number.get())
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
    waiting.put(id, waiter);
    if (!events.test(new ControlEvent.TicketSubmitted(id, ticket))) {
      waiting.remove(id);
      return CompletableFuture.completedFuture(
          error(503, "this control host is busy; the ticket was not taken; submit it again"));
    }
    return waiter
        .orTimeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .exceptionally(
            late -> {
              waiting.remove(id);
              return error(504, "the fate of the ticket is unknown; submit it again to learn it");
            });
  }

  private HttpResponse answerOf(TicketAnswer answer) {
    int status =
        switch (answer) {
          case TicketAnswer.Accepted a -> 200;
          case TicketAnswer.Conflict c -> 409;
          case TicketAnswer.Refused r -> 422;
        };
    return HttpResponses.json(status, ViewJson.write(answer, view));
  }

  private HttpResponse find(TicketNumber number) {
    ControlView now = view;
    return now.tickets().stream()
        .filter(ticket -> ticket.ticket().number().equals(number))
        .findFirst()
        .map(ticket -> HttpResponses.json(200, ViewJson.write(ticket, now)))
        .orElseGet(() -> error(404, "no ticket " + number + " was accepted"));
  }

  private HttpResponse eventStream() {
    return HttpResponse.create()
        .withEntity(
            HttpEntities.createChunked(
                MediaTypes.TEXT_EVENT_STREAM.toContentType(), ViewEvents.of(() -> view)));
  }

  private static HttpResponse screen() {
    return HttpResponse.create().withEntity(ContentTypes.TEXT_HTML_UTF8, ScreenPage.html());
  }

  private static Optional<TicketNumber> numberOf(String text) {
    try {
      return Optional.of(new TicketNumber(Long.parseLong(text)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static HttpResponse unproven() {
    return error(401, "prove that you are an operator: send your name and token by HTTP Basic")
        .addHeader(RawHeader.create("WWW-Authenticate", "Basic realm=\"cuminwell\""));
  }

  private static HttpResponse error(int status, String message) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error").put("message", message);
    return HttpResponses.json(status, body);
  }
}
