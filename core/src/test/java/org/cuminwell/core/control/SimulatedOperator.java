package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Gives orders to the control hosts of a {@link SimulatedCluster}, one after another, as operators
 * do: it sends each to one host after another until one acknowledges it, and waits a second for
 * each. What it sends may wait in the socket of a frozen host; while faults are injected, answers
 * are lost, connections break, packets are late and the host that is asked freezes at times.
 */
final class SimulatedOperator {

  /** Selects the rule that hosts violate, to check that the checker detects it. */
  enum BrokenRule {
    NOTHING,
    /** An order counts as sent when it is read. */
    AGE_FROM_READING,
    /** The order has no basis. */
    NO_BASIS,
    /** An order is carried out although its connection has ended. */
    DISCONNECT_NOT_CHECKED
  }

  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(6);
  private static final Duration BACKOFF = Duration.ofMillis(100);

  /** How long a host looks for the end of the connection before it takes an order up. */
  private static final Duration DISCONNECT_CHECK_TIME = Duration.ofMillis(50);

  /** The longest time between two looks of a running host at the queue of its listener. */
  private static final int LISTENER_POLL_MILLIS = 100;

  /** The longest delay of a packet, and of the one after it, with its repetitions. */
  private static final int MAX_DELAY_MILLIS = 1_500;

  private static final int MAX_NEXT_DELAY_MILLIS = 40;

  /** For how long a host freezes at times just before it is asked. */
  private static final int MIN_FREEZE_MILLIS = 1_200;

  private static final int MAX_FREEZE_MILLIS = 4_000;

  private final SimulatedCluster cluster;
  private final OrderHistory history;
  private final SplittableRandom random;
  private final BrokenRule broken;
  private final Supplier<OperatorOrder> orders;

  /** Creates an operator that takes its orders from the supplier. */
  SimulatedOperator(
      SimulatedCluster cluster,
      OrderHistory history,
      SplittableRandom random,
      BrokenRule broken,
      Supplier<OperatorOrder> orders) {
    this.cluster = cluster;
    this.history = history;
    this.random = random;
    this.broken = broken;
    this.orders = orders;
  }

  /** Gives the next order, and goes on with others while the simulation runs. */
  void start() {
    Sequence sequence = new Sequence(orders.get(), cluster.now(), cluster.isCalm());
    cluster.schedule(Duration.ZERO, () -> send(sequence));
  }

  /** Holds an order that is given until a host acknowledges it or its time is over. */
  private record Sequence(OperatorOrder order, Instant begunAt, boolean begunInCalm) {}

  /** Holds one connection with an order; its process is known by the count of its host's starts. */
  private final class Call {
    private final Sequence sequence;
    private final OrderHistory.Attempt attempt;
    private final SimulatedHost host;
    private final int startNumber;
    private Instant endVisibleAt = Instant.MAX;
    private Instant connectedAt = Instant.MIN;
    private boolean endIsLost;
    private boolean over;

    private Call(Sequence sequence, OrderHistory.Attempt attempt, SimulatedHost host) {
      this.sequence = sequence;
      this.attempt = attempt;
      this.host = host;
      this.startNumber = host.startCount;
    }

    private boolean hasEnded(Instant now) {
      return broken != BrokenRule.DISCONNECT_NOT_CHECKED && !now.isBefore(endVisibleAt);
    }

    private Instant sentAfter(Instant readAt) {
      return broken == BrokenRule.AGE_FROM_READING ? readAt : connectedAt;
    }
  }

  private void send(Sequence sequence) {
    List<SimulatedHost> hosts = cluster.hosts();
    SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
    Call call = new Call(sequence, history.onSent(sequence.order(), cluster.now()), host);
    cluster.schedule(RequestAge.SENDER_TIMEOUT, () -> giveUp(call));
    if (fails(15)) {
      cluster.freeze(host, millis(random.nextInt(MIN_FREEZE_MILLIS, MAX_FREEZE_MILLIS)));
    }
    long delay = delay();
    if (fails(20)) {
      cluster.schedule(millis(random.nextInt(1, 300)), () -> giveUp(call));
    } else {
      call.endIsLost = delay < MAX_NEXT_DELAY_MILLIS && fails(5);
    }
    cluster.schedule(millis(delay), () -> arrive(call));
  }

  /** Opens the connection at the host, whose process reads the order when it runs. */
  private void arrive(Call call) {
    call.connectedAt = cluster.now().minusMillis(random.nextInt(LISTENER_POLL_MILLIS));
    if (call.over) {
      showEnd(call);
    }
    cluster.deliver(call.host, call.startNumber, machine -> read(call));
  }

  private List<StateMachineAction> read(Call call) {
    Instant readAt = cluster.now();
    cluster.schedule(
        DISCONNECT_CHECK_TIME,
        () ->
            cluster.deliver(call.host, call.startNumber, machine -> takeUp(call, readAt, machine)));
    return List.of();
  }

  private List<StateMachineAction> takeUp(
      Call call, Instant readAt, ReplicatedStateMachine machine) {
    if (call.hasEnded(cluster.now())) {
      return List.of();
    }
    OperatorOrder order = call.sequence.order();
    RequestAge age = new RequestAge(call.sentAfter(readAt));
    return broken == BrokenRule.NO_BASIS
        ? cluster.submitWithoutBasis(machine, order, outcome -> onOutcome(call, outcome))
        : cluster.submitOrder(machine, order, age, outcome -> onOutcome(call, outcome));
  }

  private void onOutcome(Call call, CommandOutcome outcome) {
    if (!fails(8)) {
      cluster.schedule(millis(delay()), () -> onAnswer(call, outcome));
    }
  }

  private void onAnswer(Call call, CommandOutcome outcome) {
    if (call.over) {
      return;
    }
    switch (outcome) {
      case CommandOutcome.Committed done
          when done.result() instanceof CommandResult.OrderCarriedOut -> {
        call.over = true;
        history.onAcknowledged(call.attempt, cluster.now());
        cluster.schedule(millis(random.nextInt(600)), this::start);
      }
      case CommandOutcome.Committed _, CommandOutcome.Failed _ -> giveUp(call);
    }
  }

  /** Ends the connection, and sends the order to another host unless its time is over. */
  private void giveUp(Call call) {
    if (call.over) {
      return;
    }
    call.over = true;
    history.onGivenUp(call.attempt, cluster.now());
    if (call.connectedAt.isAfter(Instant.MIN)) {
      showEnd(call);
    }
    Sequence sequence = call.sequence;
    if (cluster.now().isBefore(sequence.begunAt().plus(ORDER_TIMEOUT))) {
      cluster.schedule(BACKOFF, () -> send(sequence));
      return;
    }
    if (sequence.begunInCalm()) {
      history.onNeverAcknowledged(sequence.order(), cluster.now());
    }
    start();
  }

  /**
   * Lets the end of the connection arrive soon, unless it is lost. It is not lost where the network
   * held the order up or the sender gave up early, since only the end shows that then.
   */
  private void showEnd(Call call) {
    if (!call.endIsLost) {
      call.endVisibleAt = cluster.now().plusMillis(random.nextInt(1, MAX_NEXT_DELAY_MILLIS));
    }
  }

  /** Returns true once in so many times, while faults are injected. */
  private boolean fails(int onceIn) {
    return random.nextInt(onceIn) == 0 && cluster.hasFaults();
  }

  private long delay() {
    return random.nextInt(1, fails(30) ? MAX_DELAY_MILLIS : MAX_NEXT_DELAY_MILLIS);
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }
}
