package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.gateway.CallBody;
import org.cuminwell.core.gateway.CallHead;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.Fingerprint;
import org.cuminwell.core.idempotency.IdempotencyKey;
import org.cuminwell.core.idempotency.IdempotentCall;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Names;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.shell.http.BodyReader;
import org.cuminwell.shell.http.HttpConnectionHandler;
import org.cuminwell.shell.http.HttpResponses;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Parses callers' requests into events and turns decisions into answers.
 *
 * <p>Thread safe.
 */
final class CallerFront {

  static final String PLAIN_PREFIX = "/r/";

  private static final String COMPLETIONS = "/v1/chat/completions";
  private static final String MODELS = "/v1/models";
  private static final String ENTRY_HOSTS = "/v1/entry-hosts";
  private static final String HOP_HEADER = "Cuminwell-Hop";
  private static final String REPLAYED_HEADER = "Idempotency-Replayed";
  private static final String ROUTE_HEADER = "Cuminwell-Route";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpSystem http;
  private final PendingCalls calls;
  private final EventSink events;
  private volatile boolean closing;

  CallerFront(HttpSystem http, PendingCalls calls, EventSink events) {
    this.http = http;
    this.calls = calls;
    this.events = events;
  }

  /** Returns the handler of a new connection. */
  HttpConnectionHandler connection() {
    return new CallerConnection(this);
  }

  /** Tells callers from now on not to use their connections again. */
  void closeConnections() {
    closing = true;
  }

  /** Handles one request; the stage never fails. */
  CompletionStage<HttpResponse> handle(HttpRequest request, Consumer<PendingCall> opened) {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    try {
      return handle(id, request, opened).thenApply(this::lastIfClosing);
    } catch (IllegalArgumentException e) {
      return refuse(
          id, request, Failure.notRun(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  /** Reads the body of a call that may be read. */
  void readBody(PendingCall call) {
    BodyReader.read(call.request(), http.actorSystem())
        .whenComplete(
            (body, error) -> {
              if (error == null) {
                bodyRead(call, body);
              } else {
                drop(call, BodyReader.failureOf(error));
              }
            });
  }

  /** Refuses a call whose body was left unread or is not needed any more. */
  void refuse(PendingCall call, Failure failure) {
    if (call.body().isEmpty()) {
      BodyReader.leaveUnread(call.request(), http.actorSystem());
    }
    call.fail(failure);
  }

  /** Answers a resent call with the answer that was kept of the first one. */
  void replay(PendingCall call, CallOutcome.Answered answer) {
    call.succeed(
        HttpResponse.create()
            .withStatus(StatusCodes.get(answer.status()))
            .addHeader(RawHeader.create(REPLAYED_HEADER, "true"))
            .addHeader(RawHeader.create(HttpResponses.REQUEST_ID_HEADER, call.id().value()))
            .withEntity(ContentTypes.parse(answer.contentType()), answer.body().toArray()));
  }

  void answerModels(PendingCall call, List<String> models) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("object", "list");
    var data = root.putArray("data");
    models.forEach(
        model ->
            data.addObject().put("id", model).put("object", "model").put("owned_by", "cuminwell"));
    call.succeed(HttpResponses.json(200, root));
  }

  void answerEntryHosts(PendingCall call, List<HostDescription> hosts) {
    ObjectNode root = MAPPER.createObjectNode();
    var list = root.putArray("entry_hosts");
    hosts.forEach(
        host ->
            list.addObject()
                .put("host", host.id().value())
                .put("address", host.callerAddress().toString())
                .put("region", host.place().region().value())
                .put("data_centre", host.place().dataCentre().value()));
    call.succeed(HttpResponses.json(200, root));
  }

  private CompletionStage<HttpResponse> handle(
      RequestId id, HttpRequest request, Consumer<PendingCall> opened) {
    if (request.getHeader(HOP_HEADER).isPresent()) {
      return refuse(
          id,
          request,
          Failure.notRun(
              ErrorCode.HOP_MARK_REFUSED, "only gateways set " + HOP_HEADER + "; remove it"));
    }
    Optional<KeyHash> key = OutgoingHeaders.key(request).map(KeyHash::of);
    String path = request.getUri().getPathString();
    if (path.startsWith(PLAIN_PREFIX)) {
      var target = new CallHead.Target.Plain(plainRoute(path), request.method().value());
      return open(new CallHead(id, target, key), request, opened);
    }
    return switch (path) {
      case COMPLETIONS ->
          request.method().equals(HttpMethods.POST)
              ? open(
                  new CallHead(id, new CallHead.Target.Completion(namedRoute(request)), key),
                  request,
                  opened)
              : wrongMethod(id, request, "POST");
      case MODELS -> get(id, request, call -> new GatewayEvent.ModelsRequested(id, key));
      case ENTRY_HOSTS ->
          get(
              id,
              request,
              call -> new GatewayEvent.EntryHostsRequested(id, key, queriedRoute(request)));
      default ->
          refuse(
              id,
              request,
              Failure.notRun(
                  ErrorCode.UNKNOWN_PATH,
                  "use " + COMPLETIONS + ", " + MODELS + ", " + ENTRY_HOSTS + " or /r/ROUTE/..."));
    };
  }

  private CompletionStage<HttpResponse> get(
      RequestId id, HttpRequest request, Function<PendingCall, GatewayEvent> event) {
    if (!request.method().equals(HttpMethods.GET)) {
      return wrongMethod(id, request, "GET");
    }
    PendingCall call = new PendingCall(id, request);
    return submit(call, event.apply(call));
  }

  private CompletionStage<HttpResponse> open(
      CallHead head, HttpRequest request, Consumer<PendingCall> opened) {
    PendingCall call = new PendingCall(head.id(), request);
    opened.accept(call);
    return submit(call, new GatewayEvent.HeadReceived(head));
  }

  /** Takes in that the caller of a request has gone. */
  void callerLeft(PendingCall call) {
    call.callerLeft();
    if (calls.contains(call.id())) {
      events.force(new GatewayEvent.CallAborted(call.id()));
    }
  }

  private HttpResponse lastIfClosing(HttpResponse answer) {
    return closing && answer.getHeader("Connection").isEmpty()
        ? answer.addHeader(HttpResponses.CONNECTION_CLOSE)
        : answer;
  }

  private CompletionStage<HttpResponse> submit(PendingCall call, GatewayEvent event) {
    if (!calls.add(call)) {
      return refuse(call.id(), call.request(), busy());
    }
    if (!events.offer(event)) {
      calls.remove(call.id());
      refuse(call, busy());
    }
    return call.answer();
  }

  private void bodyRead(PendingCall call, ByteString bytes) {
    if (!call.request().getUri().path().equals(COMPLETIONS)) {
      plainRead(call, bytes);
      return;
    }
    try {
      CallBody.Completion body = CompletionBody.read(call.id(), bytes.toArray());
      call.read(bytes, body.stream());
      events.force(new GatewayEvent.BodyReceived(body));
    } catch (IllegalArgumentException e) {
      drop(call, Failure.notRun(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private void plainRead(PendingCall call, ByteString bytes) {
    try {
      Optional<IdempotentCall> idempotentCall =
          call.idempotencyKey()
              .map(IdempotencyKey::new)
              .map(key -> new IdempotentCall(key, fingerprint(call.request(), bytes)));
      call.read(bytes, false);
      events.force(
          new GatewayEvent.BodyReceived(
              new CallBody.Plain(call.id(), bytes.size(), idempotentCall)));
    } catch (IllegalArgumentException e) {
      drop(call, Failure.notRun(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private static Fingerprint fingerprint(HttpRequest request, ByteString body) {
    String path = request.getUri().getPathString() + OutgoingHeaders.query(request);
    return Fingerprint.of(request.method().value(), path, body.toArray());
  }

  private void drop(PendingCall call, Failure failure) {
    call.fail(failure);
    calls.remove(call.id());
    events.force(new GatewayEvent.CallAborted(call.id()));
  }

  private CompletionStage<HttpResponse> wrongMethod(
      RequestId id, HttpRequest request, String allowed) {
    return refuse(
        id,
        request,
        Failure.notRun(ErrorCode.WRONG_METHOD, "this path takes " + allowed + " only"));
  }

  private CompletionStage<HttpResponse> refuse(RequestId id, HttpRequest request, Failure failure) {
    BodyReader.leaveUnread(request, http.actorSystem());
    return CompletableFuture.completedFuture(
        HttpResponses.failure(id, failure).addHeader(HttpResponses.CONNECTION_CLOSE));
  }

  private static Failure busy() {
    return Failure.notRunRetryAfter(
        ErrorCode.BUSY, "this host is busy; try again", java.time.Duration.ofSeconds(1));
  }

  private static RouteId plainRoute(String path) {
    int end = path.indexOf('/', PLAIN_PREFIX.length());
    return new RouteId(path.substring(PLAIN_PREFIX.length(), end < 0 ? path.length() : end));
  }

  private static Optional<RouteId> namedRoute(HttpRequest request) {
    return request.getHeader(ROUTE_HEADER).map(HttpHeader::value).map(RouteId::new);
  }

  private static Optional<RouteId> queriedRoute(HttpRequest request) {
    return request.getUri().query().get("route").filter(Names::isName).map(RouteId::new);
  }
}
