package org.cuminwell.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Verdict;

/**
 * Simulates gateways, control hosts, a service that counts its runs, and callers that retry, in an
 * order determined by the seed. Records what callers are told. Confined to one test.
 */
final class ClaimSimulation {

  private static final int GATEWAYS = 3;
  private static final int KEYS = 4;
  private static final int STEPS = 500;
  private static final List<HostId> CONTROL_HOSTS =
      List.of(new HostId("c0"), new HostId("c1"), new HostId("c2"));

  /** Holds the probabilities of faults, each in percent. */
  record FaultRates(
      int lost, int duplicated, int late, int crash, int refused, int answerLost, int noQuorum) {}

  /** Records the answer that the caller of one request received. */
  record CallerAnswer(String key, RequestId request, String kind, Optional<String> response) {}

  private final SplittableRandom random;
  private final FaultRates faultRates;
  private final ClaimRegistry registry = new ClaimRegistry();
  private final ClaimTracker[] gateways = new ClaimTracker[GATEWAYS];
  private final Map<RequestId, String> keys = new HashMap<>();
  private final TreeMap<Long, List<Runnable>> schedule = new TreeMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<RequestId, Integer> runsOfRequest = new HashMap<>();
  private final Map<String, String> responses = new HashMap<>();
  private final List<CallerAnswer> callerAnswers = new ArrayList<>();
  private final int[] gatewayStarts = new int[GATEWAYS];
  private HostId leader = CONTROL_HOSTS.getFirst();
  private Instant now = Instant.ofEpochSecond(1_000);
  private int requests;

  ClaimSimulation(long seed, FaultRates faultRates) {
    this.random = new SplittableRandom(seed);
    this.faultRates = faultRates;
    for (int g = 0; g < GATEWAYS; g++) {
      startGateway(g);
    }
  }

  Map<String, Integer> runs() {
    return runs;
  }

  Map<RequestId, Integer> runsOfRequest() {
    return runsOfRequest;
  }

  Map<String, String> responses() {
    return responses;
  }

  List<CallerAnswer> callerAnswers() {
    return callerAnswers;
  }

  /** Returns the number of keys for which some caller got a response. */
  long answeredKeyCount() {
    return callerAnswers.stream()
        .filter(t -> t.response().isPresent())
        .map(CallerAnswer::key)
        .distinct()
        .count();
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      now = now.plusMillis(random.nextInt(1, 60));
      runDueSteps();
      takeRandomStep(step);
    }
    for (int settle = 0; settle < 200; settle++) {
      now = now.plusMillis(100);
      runDueSteps();
      for (int g = 0; g < GATEWAYS; g++) {
        perform(g, gateways[g].onTick(now));
      }
    }
  }

  private void takeRandomStep(int step) {
    int g = random.nextInt(GATEWAYS);
    if (chance(faultRates.crash)) {
      startGateway(g);
    } else if (chance(3)) {
      leader = CONTROL_HOSTS.get(random.nextInt(CONTROL_HOSTS.size()));
      if (chance(50)) {
        announceLeader();
      }
    } else if (step < STEPS * 9 / 10 && chance(40)) {
      call(g, "k" + random.nextInt(KEYS));
    } else {
      perform(g, gateways[g].onTick(now));
    }
  }

  private void startGateway(int g) {
    gatewayStarts[g]++;
    gateways[g] = new ClaimTracker(gatewayId(g));
    CONTROL_HOSTS.forEach(
        control ->
            gateways[g].onMessage(
                control, new IdempotencyMessage.LeaderUpdate(Optional.of(leader)), now));
  }

  private void announceLeader() {
    for (int g = 0; g < GATEWAYS; g++) {
      int gateway = g;
      HostId known = leader;
      scheduleOnGateway(
          g,
          () ->
              perform(
                  gateway,
                  gateways[gateway].onMessage(
                      known, new IdempotencyMessage.LeaderUpdate(Optional.of(known)), now)));
    }
  }

  private void call(int g, String key) {
    RequestId request = new RequestId("r" + requests++);
    keys.put(request, key);
    ClaimKey claim =
        new ClaimKey(new CustomerId("touba"), new RouteId("sacks"), new IdempotencyKey(key));
    Fingerprint content = Fingerprint.of("POST", "/reserve", key.getBytes(StandardCharsets.UTF_8));
    perform(g, gateways[g].requestClaim(request, claim, content, Duration.ofSeconds(5), now));
  }

  private void perform(int g, List<ClaimAction> steps) {
    for (ClaimAction step : steps) {
      switch (step) {
        case ClaimAction.Send s -> send(() -> onControlHost(s.control(), s.message()));
        case ClaimAction.Proceed s -> attempt(g, s.request(), 1);
        case ClaimAction.Replay s ->
            answerCaller(s.request(), "replay", Optional.of(text(s.answer().body())));
        case ClaimAction.Refuse s ->
            answerCaller(s.request(), label(s.failure().verdict()), Optional.empty());
      }
    }
  }

  /** Sends a message that may be lost, duplicated or late. */
  private void send(Runnable arrival) {
    if (chance(faultRates.lost)) {
      return;
    }
    scheduleAfterMillis(delay(), arrival);
    if (chance(faultRates.duplicated)) {
      scheduleAfterMillis(delay(), arrival);
    }
  }

  /** Handles a message on a control host, which only the leader answers. */
  private void onControlHost(HostId control, IdempotencyMessage message) {
    if (!control.equals(leader) || chance(faultRates.noQuorum)) {
      return;
    }
    // A leader may lose its leadership after it has proposed a change: the change is committed, but
    // nobody answers.
    ClaimChange change = ((IdempotencyMessage.ChangeRequest) message).change();
    scheduleAfterMillis(
        delay(),
        () -> {
          ClaimAnswer answer = registry.apply(change, now);
          int g = gatewayOf(change.id().gateway());
          send(
              () ->
                  perform(
                      g,
                      gateways[g].onMessage(
                          control, new IdempotencyMessage.ChangeReply(change.id(), answer), now)));
        });
  }

  private void attempt(int g, RequestId request, int attempt) {
    String key = keyOf(request);
    scheduleOnGateway(
        g,
        () -> {
          if (chance(faultRates.refused)) {
            if (attempt < 2) {
              attempt(g, request, attempt + 1);
            } else {
              answerCaller(request, "not_run", Optional.empty());
              perform(g, gateways[g].releaseClaim(request, now));
            }
            return;
          }
          runCall(g, request, key);
        });
  }

  private void runCall(int g, RequestId request, String key) {
    int number = runs.merge(key, 1, Integer::sum);
    runsOfRequest.merge(request, 1, Integer::sum);
    String response = key + " run " + number;
    responses.put(key, response);
    scheduleOnGateway(
        g,
        () -> {
          if (chance(faultRates.answerLost)) {
            answerCaller(request, "may_have_run", Optional.empty());
            perform(g, gateways[g].recordOutcome(request, new CallOutcome.Unknown(), now));
            return;
          }
          answerCaller(request, "answer", Optional.of(response));
          byte[] body = response.getBytes(StandardCharsets.UTF_8);
          perform(
              g,
              gateways[g].recordOutcome(
                  request, CallOutcome.answered(200, "text/plain", body), now));
        });
  }

  /** Runs the step after a delay unless the gateway has crashed by then. */
  private void scheduleOnGateway(int g, Runnable step) {
    int startNumber = gatewayStarts[g];
    scheduleAfterMillis(
        delay(),
        () -> {
          if (gatewayStarts[g] == startNumber) {
            step.run();
          }
        });
  }

  private void scheduleAfterMillis(long millis, Runnable step) {
    schedule
        .computeIfAbsent(now.plusMillis(millis).toEpochMilli(), _ -> new ArrayList<>())
        .add(step);
  }

  private void runDueSteps() {
    while (!schedule.isEmpty() && schedule.firstKey() <= now.toEpochMilli()) {
      schedule.pollFirstEntry().getValue().forEach(Runnable::run);
    }
  }

  private long delay() {
    return chance(faultRates.late) ? random.nextInt(500, 8_000) : random.nextInt(1, 80);
  }

  private boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private void answerCaller(RequestId request, String kind, Optional<String> response) {
    callerAnswers.add(new CallerAnswer(keyOf(request), request, kind, response));
  }

  private String keyOf(RequestId request) {
    return keys.getOrDefault(request, "");
  }

  private static HostId gatewayId(int g) {
    return new HostId("g" + g);
  }

  private static int gatewayOf(HostId id) {
    return Integer.parseInt(id.value().substring(1));
  }

  private static String text(Bytes body) {
    return new String(body.toArray(), StandardCharsets.UTF_8);
  }

  private static String label(Verdict verdict) {
    return verdict.label();
  }
}
