package org.cuminwell.wire;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.peer.PeerMessage;

/** Prints what a change costs as a difference and as the whole configuration. Single-threaded. */
public final class DistributionCost {

  private static final int CHANGES_A_DAY = 16_000;
  private static final int ROUNDS = 400;
  private static final int KEYS = 2;

  private DistributionCost() {}

  /** Prints one row for each number of customers. */
  public static void main(String[] args) throws WireFormatException {
    System.out.println(
        "customers  full_bytes  diff_bytes  full_bytes_a_day  diff_bytes_a_day"
            + "  full_p50_us  full_p99_us  diff_p50_us  diff_p99_us");
    for (int customers : List.of(200, 1_000, 2_600)) {
      row(customers);
    }
  }

  private static void row(int customers) throws WireFormatException {
    Configuration base = configuration(customers);
    ConfigurationChange change =
        new ConfigurationChange(
            Map.of(new CustomerId("m7"), Optional.of(customer(7, 1))),
            Map.of(),
            Map.of(),
            Map.of());
    Configuration next = base.apply(base.revision().next(), change);
    byte[] full = encode(new DistributionMessage.Full(next));
    byte[] difference =
        encode(new DistributionMessage.Difference(base.revision(), List.of(change)));
    long[] fullTimes = times(base, full);
    long[] differenceTimes = times(base, difference);
    System.out.printf(
        "%9d  %10d  %10d  %16d  %16d  %11d  %11d  %11d  %11d%n",
        customers,
        full.length,
        difference.length,
        (long) full.length * CHANGES_A_DAY,
        (long) difference.length * CHANGES_A_DAY,
        fullTimes[ROUNDS / 2],
        fullTimes[ROUNDS * 99 / 100],
        differenceTimes[ROUNDS / 2],
        differenceTimes[ROUNDS * 99 / 100]);
  }

  /** Returns the sorted times to decode a message and put it in force, in microseconds. */
  private static long[] times(Configuration base, byte[] frame) throws WireFormatException {
    long[] times = new long[ROUNDS];
    for (int round = -ROUNDS; round < ROUNDS; round++) {
      ConfigurationHolder holder = new ConfigurationHolder();
      holder.applyIfNewer(base);
      long start = System.nanoTime();
      apply(holder, frame);
      if (round >= 0) {
        times[round] = (System.nanoTime() - start) / 1_000;
      }
    }
    Arrays.sort(times);
    return times;
  }

  private static void apply(ConfigurationHolder holder, byte[] frame) throws WireFormatException {
    PeerFrame.Message message = (PeerFrame.Message) PeerFrameCodec.decode(frame);
    switch (((PeerMessage.Distribution) message.message()).message()) {
      case DistributionMessage.Full m -> holder.applyIfNewer(m.configuration());
      case DistributionMessage.Difference m -> holder.apply(m);
      default -> throw new IllegalStateException("not a configuration");
    }
  }

  private static byte[] encode(DistributionMessage message) {
    return PeerFrameCodec.encode(new PeerFrame.Message(new PeerMessage.Distribution(message)));
  }

  private static Configuration configuration(int customers) {
    Map<CustomerId, Customer> all = new HashMap<>();
    for (int i = 0; i < customers; i++) {
      Customer customer = customer(i, 0);
      all.put(customer.id(), customer);
    }
    Map<RouteId, Route> routes = new HashMap<>();
    for (int i = 0; i < 10; i++) {
      RouteId id = new RouteId("route" + i);
      Service service = new Service.Model("model" + i);
      routes.put(id, new Route(id, service, Set.of(), Optional.empty(), Duration.ofSeconds(60)));
    }
    return new Configuration(new Revision(1), all, routes, Map.of(), Map.of());
  }

  private static Customer customer(int number, int generation) {
    Set<KeyHash> keys = new java.util.HashSet<>();
    for (int key = 0; key < KEYS; key++) {
      keys.add(KeyHash.of(number + "/" + generation + "/" + key));
    }
    return new Customer(
        new CustomerId("m" + number),
        keys,
        new TokenLimit(5_000, 20_000),
        number % 5 == 0 ? Set.of(new RegionId("coast")) : Set.of());
  }
}
