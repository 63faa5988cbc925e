package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.limit.ShareHolder.AddressedMessage;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TokenLimit;

/**
 * Simulates holders and a granter that exchange messages, which may be lost, duplicated or late.
 * Each holder reads a clock of its own, whose rate may differ. Not thread safe.
 */
final class ShareFleet {

  static final Instant START = Instant.ofEpochSecond(1_000_000);
  static final CustomerId CUSTOMER = new CustomerId("acme");
  static final Duration TICK = Duration.ofMillis(100);
  static final int SLOTS = 2;

  private static final RegionId REGION = new RegionId("coast");

  final TreeMap<HostId, ShareHolder> holders = new TreeMap<>();
  final Set<HostId> disconnected = new HashSet<>();
  final Set<HostId> down = new HashSet<>();
  private final Map<HostId, Double> clockRates = new TreeMap<>();
  private final Map<HostId, Place> places = new TreeMap<>();
  private final PriorityQueue<InFlightMessage> network = new PriorityQueue<>();
  private final SplittableRandom random;
  private final Faults faults;
  private final HostId leader = new HostId("leader");
  private Configuration configuration;
  private ShareGranter granter = new ShareGranter();
  private long epoch;
  private long order;
  Instant now = START;

  /** Describes how the network behaves; times in milliseconds, probabilities from 0 to 1. */
  record Faults(
      double lossProbability,
      double duplicateProbability,
      int delayMillis,
      double lateProbability,
      int maxLateMillis) {
    static final Faults NONE = new Faults(0, 0, 55, 0, 0);
    static final Faults MANY = new Faults(0.15, 0.15, 60, 0.1, 9_000);
  }

  private record InFlightMessage(
      Instant deliverAt, long order, HostId from, AddressedMessage addressed)
      implements Comparable<InFlightMessage> {
    @Override
    public int compareTo(InFlightMessage other) {
      int byTime = deliverAt.compareTo(other.deliverAt);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  ShareFleet(int hosts, TokenLimit limit, Faults faults, double clockDrift, long seed) {
    this.faults = faults;
    random = new SplittableRandom(seed);
    configuration = configuration(hosts, limit, 1);
    for (int i = 0; i < hosts; i++) {
      HostId id = host(i);
      places.put(id, new Place(REGION, new DataCentreId("dc" + i / SLOTS)));
      clockRates.put(id, 1 + clockDrift * (2 * random.nextDouble() - 1));
      restart(id);
    }
  }

  static HostId host(int i) {
    return new HostId("host" + i);
  }

  Customer customer() {
    Customer customer = configuration.customers().get(CUSTOMER);
    if (customer == null) {
      throw new IllegalStateException("no customer");
    }
    return customer;
  }

  void setLimit(TokenLimit limit) {
    long revision = configuration.revision().value() + 1;
    configuration = configuration(places.size(), limit, revision);
  }

  /** Replaces the granter by one that leads in the next epoch. */
  void startNewLeader() {
    granter = new ShareGranter();
    epoch++;
    granter.configure(configuration);
    send(leader, granter.becomeLeader(epoch, now));
    for (HostId id : holders.keySet()) {
      send(leader, granter.onConnected(id));
    }
  }

  /** Replaces the host's holder by a new one, which holds no shares. */
  void restart(HostId id) {
    ShareHolder holder = new ShareHolder(place(id), SLOTS, localTime(id));
    holders.put(id, holder);
    down.remove(id);
    if (epoch > 0) {
      send(leader, granter.onConnected(id));
    }
  }

  /**
   * Advances to the next tick: delivers the messages that are due and runs the granter and the
   * holders.
   */
  void step() {
    now = now.plus(TICK);
    granter.configure(configuration);
    while (!network.isEmpty() && !network.peek().deliverAt().isAfter(now)) {
      deliver(network.poll());
    }
    send(leader, granter.tick(now));
    for (Map.Entry<HostId, ShareHolder> entry : holders.entrySet()) {
      if (!down.contains(entry.getKey())) {
        entry.getValue().configure(configuration, localTime(entry.getKey()));
        entry
            .getValue()
            .tick(localTime(entry.getKey()))
            .ifPresent(message -> send(entry.getKey(), List.of(message)));
      }
    }
  }

  void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      step();
    }
  }

  boolean admit(HostId id, long tokens) {
    return holder(id).admit(customer(), tokens, localTime(id)) instanceof Admission.Admitted;
  }

  void settle(HostId id, long estimate, long used) {
    holder(id).settle(customer(), estimate, used, localTime(id));
  }

  ShareHolder holder(HostId id) {
    ShareHolder holder = holders.get(id);
    if (holder == null) {
      throw new IllegalArgumentException("no such host " + id);
    }
    return holder;
  }

  /** Returns the sum of the shares that the holders may use now. */
  Share heldShares() {
    List<Share> shares =
        holders.entrySet().stream()
            .filter(entry -> !down.contains(entry.getKey()))
            .map(entry -> entry.getValue().shareOf(CUSTOMER))
            .toList();
    return new Share(
        shares.stream().mapToLong(Share::tokensPerSecond).sum(),
        shares.stream().mapToLong(Share::burstTokens).sum());
  }

  /** Returns the sum of the shares that the granter has reserved. */
  Share reservedShares() {
    return granter.reserved(CUSTOMER);
  }

  Set<HostId> hosts() {
    return new LinkedHashSet<>(holders.keySet());
  }

  /** Returns the time on the host's own clock. */
  Instant localTime(HostId id) {
    long nanos = Duration.between(START, now).toNanos();
    return START.plusNanos((long) ((double) nanos * clockRates.getOrDefault(id, 1.0)));
  }

  private Place place(HostId id) {
    Place place = places.get(id);
    if (place == null) {
      throw new IllegalArgumentException("no such host " + id);
    }
    return place;
  }

  /** Puts messages on the network, which may lose, duplicate or delay them. */
  private void send(HostId from, List<AddressedMessage> messages) {
    for (AddressedMessage addressed : messages) {
      if (random.nextDouble() < faults.lossProbability()) {
        continue;
      }
      int copies = random.nextDouble() < faults.duplicateProbability() ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        boolean late = random.nextDouble() < faults.lateProbability();
        int millis = faults.delayMillis() + (late ? random.nextInt(faults.maxLateMillis()) : 0);
        network.add(new InFlightMessage(now.plusMillis(millis), order++, from, addressed));
      }
    }
  }

  private void deliver(InFlightMessage inFlightMessage) {
    HostId to = inFlightMessage.addressed().to();
    if (disconnected.contains(to)
        || disconnected.contains(inFlightMessage.from())
        || down.contains(to)) {
      return;
    }
    if (to.equals(leader)) {
      granter.onMessage(inFlightMessage.from(), inFlightMessage.addressed().message(), now);
      return;
    }
    holder(to).configure(configuration, localTime(to));
    holder(to).onMessage(leader, inFlightMessage.addressed().message(), localTime(to));
  }

  private static Configuration configuration(int hosts, TokenLimit limit, long revision) {
    Set<DataCentreId> dataCentres = new HashSet<>();
    for (int i = 0; i < hosts; i++) {
      dataCentres.add(new DataCentreId("dc" + i / SLOTS));
    }
    return new Configuration(
        new Revision(revision),
        Map.of(CUSTOMER, new Customer(CUSTOMER, Set.of(), limit, Set.of())),
        Map.of(),
        Map.of(REGION, new Region(REGION, dataCentres)),
        Map.of());
  }

  /** Records charges, and finds the time window with the greatest excess. Not thread safe. */
  static final class Ledger {

    private final List<Long> charged = new ArrayList<>();
    private final List<Double> seconds = new ArrayList<>();

    void charge(long tokens, Instant at) {
      charged.add(tokens);
      seconds.add((double) Duration.between(START, at).toMillis() / 1e3);
    }

    /**
     * Returns the greatest excess of the charges in any window over rate times length plus burst,
     * in tokens.
     */
    double worstExcess(double rate, double burst) {
      // The greatest sum less rate times length of any window that ends at this charge.
      double level = 0;
      double worst = Double.NEGATIVE_INFINITY;
      double at = 0;
      for (int i = 0; i < charged.size(); i++) {
        level = Math.max(0, level - rate * (seconds.get(i) - at)) + (double) charged.get(i);
        at = seconds.get(i);
        worst = Math.max(worst, level - burst);
      }
      return worst;
    }
  }
}
