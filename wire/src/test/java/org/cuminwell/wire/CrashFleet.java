package org.cuminwell.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.control.ControlEvent;
import org.cuminwell.core.control.RequestAge;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.core.forward.ResponseHead;
import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.PromptPart;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.routing.Prompt;

/**
 * Sends requests through a {@link CoreFleet} to simulated endpoints, some of which crash when they
 * begin to respond to a lethal request.
 *
 * <p>All random choices follow from a seed. Not thread safe.
 */
final class CrashFleet implements CoreFleet.Observer {

  static final Duration WARM_UP = Duration.ofSeconds(6);

  private static final String SERVICE = "model";
  private static final KeyHash KEY = KeyHash.of("key");
  private static final Duration DOWN = Duration.ofSeconds(3);
  private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(1);
  private static final Duration GAP = Duration.ofMillis(250);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final int FIRST_PARTS = 4;
  private static final int SESSIONS = 70;

  private final Load load;
  private final SplittableRandom random;
  private final CoreFleet fleet;
  private final int gatewayCount;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final Map<RequestId, Request> requests = new HashMap<>();
  private final List<Instant> lethalSentAt = new ArrayList<>();
  private final List<Instant> lethalCrashes = new ArrayList<>();
  private long nextRequest;

  /** Returns when the lethal requests began. */
  private final Instant start;

  /** Says which requests are lethal. */
  enum Lethal {
    /** None: endpoints crash for other reasons. */
    NONE,
    /** Requests that share one part of their prompts, before or after their own session. */
    SHARED_PART,
    /** Repetitions of one request, which has only common parts. */
    SAME_REQUEST
  }

  /**
   * Describes the requests.
   *
   * @param perSecond the requests of all callers, each second
   * @param lethalShare the fraction of them that is lethal
   * @param otherCrashesPerSecond how often endpoints crash for other reasons
   */
  record Load(
      double perSecond,
      Lethal lethal,
      double lethalShare,
      double otherCrashesPerSecond,
      RetrySemantics retrySemantics) {}

  /** One request; {@code firstAttemptBegan} says whether the first endpoint began to respond. */
  private static final class Request {
    final Instant arrivedAt;
    final boolean lethal;
    boolean firstAttemptBegan;
    boolean suspended;

    Request(Instant arrivedAt, boolean lethal) {
      this.arrivedAt = arrivedAt;
      this.lethal = lethal;
    }
  }

  private static final class Endpoint {
    final int number;
    final Set<EndpointId> ids = new HashSet<>();
    EndpointId id;
    long incarnation = 1;
    Instant downUntil = Instant.MIN;
    Instant announcedAt = Instant.MIN;

    Endpoint(int number) {
      this.number = number;
      this.id = new EndpointId("i-%04x".formatted(number));
      ids.add(id);
    }

    /** Starts again, under a new name or the one that it had. */
    void restart(boolean renamed) {
      incarnation++;
      if (renamed) {
        id = new EndpointId("i-%04x-%d".formatted(number, incarnation));
        ids.add(id);
      }
    }
  }

  private static final class Run {
    final HostId gateway;
    final ForwardAction.Send send;
    final Endpoint endpoint;
    final Instant arrivesAt;
    final Instant beginsAt;
    final Instant endsAt;
    boolean arrived;
    boolean begun;
    Instant nextGapAt;

    Run(HostId gateway, ForwardAction.Send send, Endpoint endpoint, Instant[] times) {
      this.gateway = gateway;
      this.send = send;
      this.endpoint = endpoint;
      this.arrivesAt = times[0];
      this.beginsAt = times[1];
      this.endsAt = times[2];
      this.nextGapAt = beginsAt.plus(GAP);
    }
  }

  CrashFleet(int gatewayCount, int endpointCount, int controlCount, Load load, long seed) {
    this.load = load;
    this.gatewayCount = gatewayCount;
    random = new SplittableRandom(seed);
    fleet = new CoreFleet(gatewayCount, gatewayCount, controlCount, this);
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(new Endpoint(i));
    }
    run(WARM_UP.dividedBy(2));
    fleet.controls.keySet().forEach(this::submitConfiguration);
    run(WARM_UP.dividedBy(2));
    start = fleet.now();
  }

  /** Lets the time go by without requests. */
  private void run(Duration time) {
    Instant end = fleet.now().plus(time);
    while (fleet.now().isBefore(end)) {
      fleet.step();
      announce();
    }
  }

  /** Lets the time go by with requests; {@code lethal} says whether some of them are. */
  void runWithRequests(Duration time, boolean lethal) {
    Instant end = fleet.now().plus(time);
    while (fleet.now().isBefore(end)) {
      fleet.step();
      announce();
      advanceRuns();
      crashAtRandom();
      sendRequests(lethal);
    }
  }

  void removeControl(String id) {
    fleet.remove(new HostId(id));
  }

  void restartGateway(int number) {
    fleet.restartGateway(number);
  }

  /** Returns how many endpoints crashed because of a lethal request. */
  int lethalCrashes() {
    return lethalCrashes.size();
  }

  /**
   * Returns how many lethal requests reached an endpoint that were sent later than the given time
   * after the crash with this number, counted from 1.
   */
  long lethalSentAfter(int crash, Duration time) {
    if (lethalCrashes.size() < crash) {
      return 0;
    }
    Instant bound = lethalCrashes.get(crash - 1).plus(time);
    return lethalSentAt.stream().filter(at -> at.isAfter(bound)).count();
  }

  /** Returns the fraction of sound requests in the period that began at their first attempt. */
  double soundBegun(Duration from, Duration to) {
    List<Request> sound =
        requests.values().stream()
            .filter(request -> !request.lethal)
            .filter(request -> !request.arrivedAt.isBefore(start.plus(from)))
            .filter(request -> request.arrivedAt.isBefore(start.plus(to)))
            .toList();
    return (double) sound.stream().filter(request -> request.firstAttemptBegan).count()
        / sound.size();
  }

  /** Returns how many sound requests were refused as if they were lethal. */
  long soundSuspended() {
    return requests.values().stream().filter(r -> !r.lethal && r.suspended).count();
  }

  @Override
  public void onForward(HostId gateway, ForwardAction action) {
    switch (action) {
      case ForwardAction.Send a -> onSend(gateway, a);
      case ForwardAction.CancelAttempt a ->
          runs.removeIf(run -> run.send.id().equals(a.id()) && run.send.attempt() == a.attempt());
      case ForwardAction.Refuse a -> {
        Request request = requests.get(a.id());
        if (request != null && a.failure().code() == ErrorCode.SUSPENDED) {
          request.suspended = true;
        }
      }
      default -> {}
    }
  }

  private void onSend(HostId gateway, ForwardAction.Send send) {
    Endpoint endpoint =
        endpoints.stream().filter(e -> e.ids.contains(send.endpoint())).findFirst().orElseThrow();
    Instant arrival = fleet.now().plusMillis(10 + random.nextInt(100));
    Instant begin = arrival.plusMillis(100 + random.nextInt(500));
    Instant end = begin.plusMillis(200 + random.nextInt(2_500));
    runs.add(new Run(gateway, send, endpoint, new Instant[] {arrival, begin, end}));
  }

  /** Advances all runs; those that end may lead to new ones or cancel others. */
  private void advanceRuns() {
    for (Run run : List.copyOf(runs)) {
      if (runs.contains(run) && advance(run)) {
        runs.remove(run);
      }
    }
  }

  /** Advances a run to the present, and returns whether it has ended. */
  private boolean advance(Run run) {
    Instant now = fleet.now();
    if (!run.arrived && !now.isBefore(run.arrivesAt)) {
      if (isDown(run.endpoint)) {
        Failure refused = Failure.notRun(ErrorCode.ENDPOINT_FAILED, "connection refused");
        end(run, new ForwardAttemptOutcome.Failed(refused));
        return true;
      }
      if (!run.endpoint.id.equals(run.send.endpoint())) {
        handle(
            run,
            new ForwardEvent.ResponseHeadReceived(
                run.send.id(),
                run.send.attempt(),
                new ResponseHead.NotRun(421, true, Optional.empty())));
        return true;
      }
      run.arrived = true;
      if (request(run).lethal) {
        lethalSentAt.add(run.arrivesAt);
      }
    }
    if (run.arrived && isDown(run.endpoint)) {
      Failure lost = Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "connection reset");
      end(run, new ForwardAttemptOutcome.ConnectionLost(lost));
      return true;
    }
    if (run.arrived && !run.begun && !now.isBefore(run.beginsAt)) {
      begin(run);
    }
    if (run.begun && !now.isBefore(run.nextGapAt)) {
      run.nextGapAt = now.plus(GAP);
      handle(
          run,
          new ForwardEvent.EventGapMeasured(
              run.send.id(), run.send.attempt(), Duration.ofMillis(25)));
    }
    if (run.begun && !now.isBefore(run.endsAt)) {
      end(run, new ForwardAttemptOutcome.Completed());
      return true;
    }
    return false;
  }

  private void begin(Run run) {
    if (request(run).lethal) {
      lethalCrashes.add(fleet.now());
      crash(run.endpoint);
      return;
    }
    run.begun = true;
    if (run.send.attempt() == 1) {
      request(run).firstAttemptBegan = true;
    }
    handle(
        run,
        new ForwardEvent.ResponseHeadReceived(
            run.send.id(), run.send.attempt(), new ResponseHead.Final(200)));
    handle(run, new ForwardEvent.BodyStarted(run.send.id()));
  }

  private void crash(Endpoint endpoint) {
    endpoint.downUntil = fleet.now().plus(DOWN);
  }

  private void crashAtRandom() {
    double probability = load.otherCrashesPerSecond() * CoreFleet.STEP.toMillis() / 1_000;
    if (random.nextDouble() < probability) {
      Endpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
      if (!isDown(endpoint)) {
        crash(endpoint);
      }
    }
  }

  private boolean isDown(Endpoint endpoint) {
    return fleet.now().isBefore(endpoint.downUntil);
  }

  private Request request(Run run) {
    return Objects.requireNonNull(requests.get(run.send.id()));
  }

  private void end(Run run, ForwardAttemptOutcome outcome) {
    handle(run, new ForwardEvent.AttemptEnded(run.send.id(), run.send.attempt(), outcome));
  }

  private void handle(Run run, ForwardEvent event) {
    fleet.handle(run.gateway, new GatewayEvent.Forwarded(event));
  }

  private void sendRequests(boolean lethalAllowed) {
    double expected = load.perSecond() * CoreFleet.STEP.toMillis() / 1_000;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      boolean lethal =
          lethalAllowed && load.lethal() != Lethal.NONE && random.nextDouble() < load.lethalShare();
      sendRequest(lethal);
    }
  }

  private void sendRequest(boolean lethal) {
    String name = "r" + nextRequest++;
    boolean repeated = lethal && load.lethal() == Lethal.SAME_REQUEST;
    List<PromptPart> parts = new ArrayList<>();
    parts.add(new PromptPart("first" + (repeated ? 0 : random.nextInt(FIRST_PARTS)), 2_000));
    parts.add(new PromptPart("session" + (repeated ? 0 : random.nextInt(SESSIONS)), 3_000));
    if (lethal && !repeated) {
      parts.add(random.nextInt(parts.size() + 1), new PromptPart("lethal", 500));
    }
    parts.add(new PromptPart(repeated ? "own" : name, 1_000));
    ForwardRequest request =
        new ForwardRequest(
            new RequestId(name),
            name,
            "host.example",
            "/a/1",
            Optional.of(KEY),
            fleet.now(),
            Optional.of(REQUEST_TIMEOUT),
            OptionalLong.empty(),
            new Prompt(parts));
    requests.put(request.id(), new Request(fleet.now(), lethal));
    HostId gateway = new HostId("g" + random.nextInt(gatewayCount));
    long contentHash = repeated ? -1 : nextRequest;
    fleet.handle(
        gateway,
        new GatewayEvent.Forwarded(new ForwardEvent.RequestReceived(request, contentHash)));
  }

  private void announce() {
    Set<HostId> controls = new HashSet<>(fleet.controls.keySet());
    HostId control = List.copyOf(fleet.controls.keySet()).get(random.nextInt(controls.size()));
    for (Endpoint endpoint : endpoints) {
      boolean isDue =
          endpoint.announcedAt.equals(Instant.MIN)
              || !fleet.now().isBefore(endpoint.announcedAt.plus(ANNOUNCE_PERIOD));
      if (isDown(endpoint)) {
        endpoint.announcedAt = Instant.MIN;
      } else if (isDue) {
        if (endpoint.announcedAt.equals(Instant.MIN)) {
          endpoint.restart(random.nextBoolean());
        }
        endpoint.announcedAt = fleet.now();
        fleet.handle(
            control,
            new ControlEvent.EndpointAnnounced(
                announcement(endpoint), new RequestAge(fleet.now())));
      }
    }
  }

  private Announcement announcement(Endpoint endpoint) {
    return new Announcement(
        endpoint.id,
        endpoint.incarnation,
        CoreFleet.place(endpoint.number % gatewayCount),
        CoreFleet.address(100 + endpoint.number),
        Set.of(SERVICE),
        new VersionId("v1"),
        64,
        Duration.ofSeconds(10),
        false,
        0,
        Duration.ZERO);
  }

  private void submitConfiguration(HostId control) {
    RouteId id = new RouteId("a");
    ForwardRoute route =
        new ForwardRoute(
            id,
            "host.example",
            "/a/",
            load.retrySemantics(),
            REQUEST_TIMEOUT,
            Duration.ofSeconds(1),
            0,
            List.of(new ForwardRoute.WeightedService(SERVICE, 1)),
            load.retrySemantics().allowsRetry() ? 2 : 1,
            false,
            false,
            Set.of());
    ForwardService service = new ForwardService(SERVICE, "/health", 600, Duration.ZERO, 0);
    Customer customer =
        new Customer(new CustomerId("mbour"), Set.of(KEY), TokenLimit.UNLIMITED, Set.of());
    Configuration content =
        new Configuration(
            new Revision(1),
            Map.of(customer.id(), customer),
            Map.of(),
            Map.of(),
            Map.of(),
            new Forwarding(
                Map.of(id, route), Map.of(SERVICE, service), CallerLimits.DEFAULT, Set.of()));
    ConfigurationDocument document =
        new ConfigurationDocument(1, Bytes.copyOf(new byte[] {'{', '}'}));
    fleet.handle(
        control,
        new ControlEvent.ConfigurationSubmitted(new RequestId("configuration"), document, content));
  }
}
