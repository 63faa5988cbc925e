package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;

/**
 * Runs a few state machines over a network and disks that fail as a seed says, in simulated time.
 */
final class AgreementNetwork {

  /** Says which rule the test switches off, to see that the checker notices. */
  enum Broken {
    NOTHING,
    EMPTY_DISK_VOTES,
    ACKNOWLEDGES_BEFORE_SYNC
  }

  /** Says whose disk stalls. */
  enum Stalled {
    LEADER,
    FOLLOWER
  }

  private static final Duration STALL_AT = Duration.ofSeconds(5);
  private static final Duration TAKE_OVER = Duration.ofSeconds(4);
  private static final Duration SUBMIT_PERIOD = Duration.ofMillis(200);
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration FAULTS_END = Duration.ofSeconds(15);
  private static final Duration END = Duration.ofSeconds(40);
  private static final int NUMBERS = 10;

  private record Step(Instant at, long order, Runnable run) {}

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparingLong(Step::order));
  private final SplittableRandom random;
  private final SplittableRandom stalls;
  private final Broken broken;
  private final List<AgreementHost> hosts;
  private final Set<Set<HostId>> cuts = new HashSet<>();
  private final AgreementHistory history = new AgreementHistory();
  private Instant now = START;
  private long order;
  private long requests;
  private boolean faulty = true;
  private boolean founded;

  AgreementNetwork(int size, long seed, Broken broken) {
    this.random = new SplittableRandom(seed);
    this.stalls = new SplittableRandom(~seed);
    this.broken = broken;
    Set<HostId> voters =
        IntStream.range(0, size).mapToObj(i -> new HostId("c" + i)).collect(Collectors.toSet());
    this.hosts =
        voters.stream().sorted().map(id -> new AgreementHost(id, voters, random.split())).toList();
  }

  /** Runs to the end and returns what was checked. */
  AgreementHistory run() {
    hosts.forEach(this::start);
    at(millis(200), this::submitSoon);
    at(millis(300), this::fail);
    at(millis(300), this::stallAny);
    at(FAULTS_END, this::heal);
    while (!steps.isEmpty() && steps.peek().at().isBefore(START.plus(END))) {
      Step step = steps.poll();
      now = step.at();
      step.run().run();
      history.acting(hosts.stream().filter(this::acts).count());
    }
    hosts.forEach(this::checkSettled);
    return history;
  }

  /**
   * Runs without other faults while the disk of one host takes nothing for some time; tickets come
   * to every host from the time on by which another host must lead, until the disk works again.
   */
  AgreementHistory runWithStalledDisk(Stalled which, Duration stall) {
    faulty = false;
    hosts.forEach(this::start);
    at(STALL_AT, () -> stall(which, stall));
    Instant end = START.plus(STALL_AT).plus(stall).plus(TAKE_OVER);
    while (!steps.isEmpty() && steps.peek().at().isBefore(end)) {
      Step step = steps.poll();
      now = step.at();
      step.run().run();
      history.acting(hosts.stream().filter(this::acts).count());
    }
    hosts.forEach(this::checkSettled);
    return history;
  }

  private void stall(Stalled which, Duration stall) {
    AgreementHost leader = leaderOr(any());
    AgreementHost host =
        switch (which) {
          case LEADER -> leader;
          case FOLLOWER -> hosts.get((hosts.indexOf(leader) + 1) % hosts.size());
        };
    host.stalledUntil = now.plus(stall);
    submit(host, new Ticket(new TicketNumber(1), ticket().change()));
    at(TAKE_OVER, () -> submitWhileStalled(host, 2));
  }

  private void submitWhileStalled(AgreementHost stalled, long number) {
    if (now.isBefore(stalled.stalledUntil)) {
      if (acts(stalled)) {
        history.fault(stalled.id + " leads though its disk takes nothing");
      }
      AgreementHost host = hosts.get(Math.toIntExact(number % hosts.size()));
      submit(host, new Ticket(new TicketNumber(number), ticket().change()));
      at(SUBMIT_PERIOD, () -> submitWhileStalled(stalled, number + 1));
    }
  }

  private void checkSettled(AgreementHost host) {
    ReplicatedStateMachine replicatedStateMachine = host.agreement;
    if (replicatedStateMachine == null || replicatedStateMachine.status(now).leader().isEmpty()) {
      history.fault(
          host.id
              + " knows no leader at the end; it is "
              + (replicatedStateMachine == null ? "down" : replicatedStateMachine.status(now)));
    } else {
      history.settled(replicatedStateMachine);
    }
  }

  private boolean acts(AgreementHost host) {
    return host.agreement != null && host.agreement.fencingNumber(now).isPresent();
  }

  private void start(AgreementHost host) {
    host.start(now);
    int life = host.life;
    at(millis(random.nextInt(50)), () -> tick(host, life));
  }

  private void tick(AgreementHost host, int life) {
    if (host.life == life && host.agreement != null) {
      deliver(host, life, replicatedStateMachine -> replicatedStateMachine.tick(now));
      at(TICK, () -> tick(host, life));
    }
  }

  /** Lets the host handle an event, later if it is frozen. */
  private void deliver(
      AgreementHost host,
      int life,
      Function<ReplicatedStateMachine, List<StateMachineAction>> event) {
    if (host.life != life || host.agreement == null) {
      return;
    }
    if (now.isBefore(host.frozenUntil)) {
      at(Duration.between(now, host.frozenUntil), () -> deliver(host, life, event));
      return;
    }
    ReplicatedStateMachine replicatedStateMachine = host.agreement;
    try {
      event.apply(replicatedStateMachine).forEach(action -> perform(host, action));
      history.observe(host, replicatedStateMachine, now);
    } catch (IllegalStateException e) {
      history.fault(host.id + " stops: " + e.getMessage());
      host.crash();
    }
  }

  private void perform(AgreementHost host, StateMachineAction action) {
    switch (action) {
      case StateMachineAction.Send a -> send(host.id, a.to(), a.message());
      case StateMachineAction.Write a -> {
        host.write(a.write());
        int life = host.life;
        long sequence = a.write().sequence();
        if (broken == Broken.ACKNOWLEDGES_BEFORE_SYNC) {
          at(Duration.ZERO, () -> deliver(host, life, x -> x.persisted(sequence, now)));
          at(millis(200), () -> syncLater(host, life, sequence));
        } else {
          at(millis(random.nextInt(1, 25)), () -> synced(host, life, sequence));
        }
      }
      case StateMachineAction.Answer a -> history.answered(a.id(), a.outcome());
      case StateMachineAction.StateChanged a -> {}
    }
  }

  private void syncLater(AgreementHost host, int life, long sequence) {
    if (host.life == life && host.agreement != null) {
      host.sync(sequence);
    }
  }

  private void synced(AgreementHost host, int life, long sequence) {
    if (now.isBefore(host.stalledUntil)) {
      at(Duration.between(now, host.stalledUntil), () -> synced(host, life, sequence));
    } else if (host.life == life && host.agreement != null) {
      host.sync(sequence);
      deliver(
          host, life, replicatedStateMachine -> replicatedStateMachine.persisted(sequence, now));
    }
  }

  private void send(HostId from, HostId to, StateMachineMessage message) {
    boolean replication = message instanceof StateMachineMessage.Replication;
    int copies = faulty && replication && random.nextInt(20) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (faulty && random.nextInt(15) == 0) {
        continue;
      }
      int delay = random.nextInt(1, faulty && random.nextInt(30) == 0 ? 1_500 : 40);
      at(millis(delay), () -> arrive(from, to, message));
    }
  }

  private void arrive(HostId from, HostId to, StateMachineMessage message) {
    if (!cuts.contains(Set.of(from, to))) {
      AgreementHost host = host(to);
      deliver(
          host,
          host.life,
          replicatedStateMachine -> replicatedStateMachine.hear(from, message, now));
    }
  }

  private void submitSoon() {
    AgreementHost host = any();
    if (host.agreement != null) {
      submit(host, ticket());
    }
    if (faulty) {
      at(millis(random.nextInt(20, 300)), this::submitSoon);
    }
  }

  private void submit(AgreementHost host, Ticket ticket) {
    RequestId id = new RequestId("r" + requests++);
    history.submitted(id, ticket);
    deliver(
        host,
        host.life,
        replicatedStateMachine ->
            replicatedStateMachine.submit(id, new Command.AcceptTicket(ticket), now));
  }

  private Ticket ticket() {
    long number = random.nextInt(1, NUMBERS + 1);
    RegionId region = new RegionId("region" + number);
    DataCentreId dataCentre = new DataCentreId("dc" + number + "v" + random.nextInt(4));
    return new Ticket(
        new TicketNumber(number),
        new ConfigurationChange(
            Map.of(),
            Map.of(),
            Map.of(region, Optional.of(new Region(region, Set.of(dataCentre)))),
            Map.of()));
  }

  private void fail() {
    if (!faulty) {
      return;
    }
    AgreementHost host = random.nextBoolean() ? any() : leaderOr(any());
    switch (random.nextInt(5)) {
      case 0 -> crash(host);
      case 1 -> lose(host);
      case 2 -> host.frozenUntil = now.plusMillis(random.nextInt(100, 3_000));
      case 3 -> hosts.forEach(other -> cut(host, other));
      default -> cuts.clear();
    }
    at(millis(random.nextInt(50, 1_200)), this::fail);
  }

  /** Stalls disks by draws of its own, so that the other faults of a seed stay as they are. */
  private void stallAny() {
    if (faulty) {
      AgreementHost host = hosts.get(stalls.nextInt(hosts.size()));
      host.stalledUntil = now.plusMillis(stalls.nextInt(200, 4_000));
      at(millis(stalls.nextInt(500, 4_000)), this::stallAny);
    }
  }

  private void cut(AgreementHost one, AgreementHost other) {
    if (one != other && random.nextInt(3) > 0) {
      cuts.add(Set.of(one.id, other.id));
    }
  }

  private void crash(AgreementHost host) {
    if (host.agreement != null) {
      host.crash();
      at(millis(random.nextInt(1, 2_500)), () -> restart(host));
    }
  }

  /** Takes the disk of a host, if the cluster is founded and enough others are whole. */
  private void lose(AgreementHost host) {
    founded = founded || hosts.stream().allMatch(AgreementHost::isVoter);
    long lost = hosts.stream().filter(AgreementHost::isLearner).count();
    if (!founded || host.isLearner() || lost + 1 > (hosts.size() - 1) / 2) {
      return;
    }
    crash(host);
    host.wipe(
        broken == Broken.EMPTY_DISK_VOTES
            ? new HardState(0, Optional.empty(), new VotingStatus.Voter())
            : HardState.learner(random.nextLong()));
  }

  private void restart(AgreementHost host) {
    if (host.agreement == null) {
      host.frozenUntil = now;
      start(host);
    }
  }

  private void heal() {
    faulty = false;
    cuts.clear();
    hosts.forEach(host -> host.stalledUntil = now);
    hosts.forEach(this::restart);
  }

  private AgreementHost any() {
    return hosts.get(random.nextInt(hosts.size()));
  }

  private AgreementHost leaderOr(AgreementHost other) {
    return hosts.stream().filter(this::acts).findFirst().orElse(other);
  }

  private AgreementHost host(HostId id) {
    return hosts.stream().filter(host -> host.id.equals(id)).findFirst().orElseThrow();
  }

  private void at(Duration delay, Runnable run) {
    steps.add(new Step(now.plus(delay), order++, run));
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }
}
