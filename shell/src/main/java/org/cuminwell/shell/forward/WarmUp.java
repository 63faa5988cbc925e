package org.cuminwell.shell.forward;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.crash.CrashEvidence;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.forward.AcceptancePolicy;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.Forwarder;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.Ring;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.cuminwell.shell.exchange.ServerListener;
import org.cuminwell.shell.exchange.WholeResponse;

/**
 * Sends requests through the forwarding code before the gateway accepts callers, since code runs
 * slowly until it has been loaded and compiled.
 *
 * <p>The requests pass a separate {@link ForwardFront} and {@link Forwarder} to an endpoint within
 * this process, over the loopback addresses in the settings, so they don't affect the state that
 * serves callers. Invariant: both addresses are free again when {@link #run} returns. Not thread
 * safe.
 */
public final class WarmUp {

  /** The value of the {@code Host} header of the requests. */
  public static final String HOST = "warm-up.invalid";

  /** The path prefix of requests whose response is a resumable event stream. */
  public static final String STREAM_PATH = "/stream/";

  /** The path prefix of requests whose response is a plain body. */
  public static final String PLAIN_PATH = "/plain/";

  /** The API key of the requests. */
  public static final String KEY = "warm-up";

  private static final System.Logger LOG = System.getLogger(WarmUp.class.getName());

  private static final int OK = 200;

  /** How many requests are sent at the same time. */
  private static final int BATCH_SIZE = 4;

  /** Longer than any warm-up, so that none of its timeouts expires. */
  private static final Duration LONG_TIMEOUT = Duration.ofDays(1);

  private static final int RING_CAPACITY = 1_024;
  private static final int ENDPOINT_CAPACITY = 1_000;
  private static final HostId LOCAL_HOST = new HostId("warm-up");
  private static final Place LOCAL_PLACE =
      new Place(new RegionId("here"), new DataCentreId("here"));

  private final AtomicInteger successCount = new AtomicInteger();
  private final HttpEventLoops loops;
  private final InstantSource time;
  private final WarmUpSettings settings;
  private final ForwardDialect dialect;
  private final Ring<ForwardEvent> events = new Ring<>(RING_CAPACITY);
  private final ForwardFront front;
  private final Forwarder forwarder;
  private final Forwarder.Context context;
  private final ClientConnections connections;

  private WarmUp(
      HttpEventLoops loops, InstantSource time, ForwardDialect dialect, WarmUpSettings settings) {
    this.loops = loops;
    this.time = time;
    this.settings = settings;
    this.dialect = dialect;
    Instant now = time.instant();
    EndpointTable endpoints = new EndpointTable();
    endpoints.recordAnnouncement(announcement(settings.endpointAddress()), now);
    forwarder =
        new Forwarder(
            LOCAL_PLACE,
            endpoints,
            new HostDirectory(),
            CrashEvidence.ofGateway(LOCAL_HOST, () -> 1, new SplittableRandom(1)),
            ForwardBounds.DEFAULT,
            new SplittableRandom(1));
    context =
        new Forwarder.Context(
            ConfigurationIndex.of(configuration()),
            now,
            new ShareHolder(LOCAL_PLACE, 1, now),
            new AcceptancePolicy.All());
    connections = new ClientConnections(loops, time, ClientConnections.NONE_IDLE);
    front = new ForwardFront(loops, time, connections, dialect, events::offer, events::offer);
  }

  /**
   * Sends the configured number of requests, or as many as the time limit allows, and waits for
   * their responses.
   *
   * @return the number of responses with a success status
   */
  public static int run(
      HttpEventLoops loops, InstantSource time, ForwardDialect dialect, WarmUpSettings settings) {
    return new WarmUp(loops, time, dialect, settings).run();
  }

  private int run() {
    Instant startedAt = time.instant();
    ServerListener callers = HttpServer.bind(loops, settings.callerAddress(), front::newConnection);
    ServerListener endpoint =
        HttpServer.bind(loops, settings.endpointAddress(), EndpointConnection::new);
    int sent = 0;
    try (var _ = Duty.start("warm-up", events, this::handleEvent)) {
      while (sent < settings.requestCount() && isTimeLeft(startedAt)) {
        sendBatch(sent, startedAt);
        sent += BATCH_SIZE;
      }
    } catch (CompletionException e) {
      LOG.log(
          System.Logger.Level.WARNING,
          "warm-up ended early; the gateway accepts callers anyway",
          e);
    } finally {
      callers.unbind().toCompletableFuture().join();
      endpoint.unbind().toCompletableFuture().join();
    }
    long tookMillis = Duration.between(startedAt, time.instant()).toMillis();
    LOG.log(
        System.Logger.Level.INFO,
        "warmed up: "
            + successCount.get()
            + " of "
            + sent
            + " requests answered in "
            + tookMillis
            + " ms");
    return successCount.get();
  }

  private boolean isTimeLeft(Instant startedAt) {
    return time.instant().isBefore(startedAt.plus(settings.timeLimit()));
  }

  /** Sends one batch and waits until all its responses have arrived or the time is up. */
  private void sendBatch(int first, Instant startedAt) {
    Duration timeLeft = Duration.between(time.instant(), startedAt.plus(settings.timeLimit()));
    CompletableFuture<?>[] responses =
        IntStream.range(first, first + BATCH_SIZE)
            .mapToObj(this::send)
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(responses)
        .completeOnTimeout(null, Math.max(1, timeLeft.toMillis()), TimeUnit.MILLISECONDS)
        .join();
  }

  private CompletableFuture<?> send(int number) {
    WholeResponse response = new WholeResponse();
    RequestMessage request = dialect.warmUpRequest(number);
    loops
        .exchangeLoop()
        .execute(
            () -> connections.newCall().send(settings.callerAddress(), request, false, response));
    return response.future().thenAccept(this::countIfSuccessful);
  }

  private void countIfSuccessful(Optional<ResponseMessage> response) {
    if (response.filter(r -> r.status() == OK).isPresent()) {
      successCount.incrementAndGet();
    }
  }

  /** Performs the actions that follow from an event, except for log lines. */
  private void handleEvent(ForwardEvent event) {
    for (ForwardAction action : forwarder.handle(event, context, time.instant())) {
      if (!(action instanceof ForwardAction.Log)) {
        front.perform(action);
      }
    }
  }

  /** Responds as an endpoint: sends event streams event by event. Stateless. */
  private final class EndpointConnection implements ExchangeHandler {

    @Override
    public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
      ResponseMessage response = dialect.warmUpResponse(request);
      if (!request.path().startsWith(STREAM_PATH)) {
        writer.respond(response);
        return;
      }
      writer.start(new ResponseStart(response.status(), response.headers(), OptionalLong.empty()));
      String body = new String(response.body(), StandardCharsets.UTF_8);
      for (String event : body.split("(?<=\n\n)", -1)) {
        writer.write(event.getBytes(StandardCharsets.UTF_8));
      }
      writer.end();
    }

    @Override
    public ResponseMessage unreadable(Failure failure) {
      return ResponseMessage.empty(failure.code().httpStatus());
    }

    @Override
    public void onDisconnected() {}
  }

  /** Returns the announcement of the only endpoint. */
  private static Announcement announcement(HostAddress address) {
    return new Announcement(
        new EndpointId("warm-up"),
        1,
        LOCAL_PLACE,
        address,
        Set.of("warm-up"),
        new VersionId("1"),
        ENDPOINT_CAPACITY,
        LONG_TIMEOUT,
        false);
  }

  /** Returns a configuration with one customer, one service and a route for each path. */
  private static Configuration configuration() {
    CustomerId customer = new CustomerId("warm-up");
    ForwardRoute stream = route("stream", STREAM_PATH, new RetrySemantics.ResumableStream(), true);
    ForwardRoute plain = route("plain", PLAIN_PATH, new RetrySemantics.AtMostOnce(), false);
    return new Configuration(
        new Revision(1),
        Map.of(
            customer,
            new Customer(customer, Set.of(KeyHash.of(KEY)), TokenLimit.UNLIMITED, Set.of())),
        Map.of(),
        Map.of(),
        Map.of(),
        new Forwarding(
            Map.of(stream.id(), stream, plain.id(), plain),
            Map.of(
                "warm-up", new ForwardService("warm-up", "/", ENDPOINT_CAPACITY, Duration.ZERO, 0)),
            CallerLimits.DEFAULT,
            Set.of()));
  }

  private static ForwardRoute route(
      String id, String path, RetrySemantics retrySemantics, boolean cachesPrompts) {
    return new ForwardRoute(
        new RouteId(id),
        HOST,
        path,
        retrySemantics,
        LONG_TIMEOUT,
        LONG_TIMEOUT,
        0,
        List.of(new ForwardRoute.WeightedService("warm-up", 1)),
        1,
        false,
        cachesPrompts,
        Set.of());
  }
}
