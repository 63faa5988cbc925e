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
 * Plays gateways, control hosts, a service that counts its runs and callers who send again, in an
 * order that the seed gives, and notes what callers were told. Confined to one test.
 */
final class ClaimHistory {

  private static final int GATEWAYS = 3;
  private static final int KEYS = 4;
  private static final int STEPS = 500;
  private static final List<HostId> CONTROLS =
      List.of(new HostId("c0"), new HostId("c1"), new HostId("c2"));

  /** Chances of faults, each in percent. */
  record Faults(
      int lost, int doubled, int late, int crash, int refused, int answerLost, int noQuorum) {}

  /** Notes what one request was told. */
  record Told(String key, RequestId request, String what, Optional<String> answer) {}

  private final SplittableRandom random;
  private final Faults faults;
  private final ClaimRegistry book = new ClaimRegistry();
  private final ClaimTracker[] gateways = new ClaimTracker[GATEWAYS];
  private final Map<RequestId, String> keys = new HashMap<>();
  private final TreeMap<Long, List<Runnable>> agenda = new TreeMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<RequestId, Integer> runsOfRequest = new HashMap<>();
  private final Map<String, String> answers = new HashMap<>();
  private final List<Told> told = new ArrayList<>();
  private final int[] lives = new int[GATEWAYS];
  private HostId leader = CONTROLS.getFirst();
  private Instant now = Instant.ofEpochSecond(1_000);
  private int requests;

  ClaimHistory(long seed, Faults faults) {
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    for (int g = 0; g < GATEWAYS; g++) {
      start(g);
    }
  }

  Map<String, Integer> runs() {
    return runs;
  }

  Map<RequestId, Integer> runsOfRequest() {
    return runsOfRequest;
  }

  Map<String, String> answers() {
    return answers;
  }

  List<Told> told() {
    return told;
  }

  /** Returns how many keys ended with an answer that a caller got. */
  long answeredKeys() {
    return told.stream().filter(t -> t.answer().isPresent()).map(Told::key).distinct().count();
  }

  void play() {
    for (int step = 0; step < STEPS; step++) {
      now = now.plusMillis(random.nextInt(1, 60));
      runAgenda();
      step(step);
    }
    for (int settle = 0; settle < 200; settle++) {
      now = now.plusMillis(100);
      runAgenda();
      for (int g = 0; g < GATEWAYS; g++) {
        perform(g, gateways[g].tick(now));
      }
    }
  }

  private void step(int step) {
    int g = random.nextInt(GATEWAYS);
    if (chance(faults.crash)) {
      start(g);
    } else if (chance(3)) {
      leader = CONTROLS.get(random.nextInt(CONTROLS.size()));
      if (chance(50)) {
        announceLeader();
      }
    } else if (step < STEPS * 9 / 10 && chance(40)) {
      call(g, "k" + random.nextInt(KEYS));
    } else {
      perform(g, gateways[g].tick(now));
    }
  }

  private void start(int g) {
    lives[g]++;
    gateways[g] = new ClaimTracker(gatewayId(g));
    CONTROLS.forEach(
        control ->
            gateways[g].onMessage(
                control, new IdempotencyMessage.LeaderUpdate(Optional.of(leader)), now));
  }

  private void announceLeader() {
    for (int g = 0; g < GATEWAYS; g++) {
      int gateway = g;
      HostId known = leader;
      later(
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
        case ClaimAction.Send s -> send(() -> atControl(s.control(), s.message()));
        case ClaimAction.Proceed s -> attempt(g, s.request(), 1);
        case ClaimAction.Replay s ->
            tell(s.request(), "replay", Optional.of(text(s.answer().body())));
        case ClaimAction.Refuse s ->
            tell(s.request(), label(s.failure().verdict()), Optional.empty());
      }
    }
  }

  /** Sends a message that may be lost, doubled or late. */
  private void send(Runnable arrival) {
    if (chance(faults.lost)) {
      return;
    }
    at(delay(), arrival);
    if (chance(faults.doubled)) {
      at(delay(), arrival);
    }
  }

  private void atControl(HostId control, IdempotencyMessage message) {
    if (!control.equals(leader) || chance(faults.noQuorum)) {
      return;
    }
    // A leader may lose its office after it has proposed: the change commits and nobody answers.
    ClaimChange change = ((IdempotencyMessage.ChangeRequest) message).change();
    at(
        delay(),
        () -> {
          ClaimAnswer answer = book.apply(change, now);
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
    later(
        g,
        () -> {
          if (chance(faults.refused)) {
            if (attempt < 2) {
              attempt(g, request, attempt + 1);
            } else {
              tell(request, "not_run", Optional.empty());
              perform(g, gateways[g].releaseClaim(request, now));
            }
            return;
          }
          run(g, request, key);
        });
  }

  private void run(int g, RequestId request, String key) {
    int number = runs.merge(key, 1, Integer::sum);
    runsOfRequest.merge(request, 1, Integer::sum);
    String answer = key + " run " + number;
    answers.put(key, answer);
    later(
        g,
        () -> {
          if (chance(faults.answerLost)) {
            tell(request, "may_have_run", Optional.empty());
            perform(g, gateways[g].recordOutcome(request, new CallOutcome.Unknown(), now));
            return;
          }
          tell(request, "answer", Optional.of(answer));
          byte[] body = answer.getBytes(StandardCharsets.UTF_8);
          perform(
              g,
              gateways[g].recordOutcome(
                  request, CallOutcome.answered(200, "text/plain", body), now));
        });
  }

  /** Runs the step after a delay unless the gateway has crashed by then. */
  private void later(int g, Runnable step) {
    int life = lives[g];
    at(
        delay(),
        () -> {
          if (lives[g] == life) {
            step.run();
          }
        });
  }

  private void at(long millis, Runnable step) {
    agenda.computeIfAbsent(now.plusMillis(millis).toEpochMilli(), _ -> new ArrayList<>()).add(step);
  }

  private void runAgenda() {
    while (!agenda.isEmpty() && agenda.firstKey() <= now.toEpochMilli()) {
      agenda.pollFirstEntry().getValue().forEach(Runnable::run);
    }
  }

  private long delay() {
    return chance(faults.late) ? random.nextInt(500, 8_000) : random.nextInt(1, 80);
  }

  private boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private void tell(RequestId request, String what, Optional<String> answer) {
    told.add(new Told(keyOf(request), request, what, answer));
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
