package org.cuminwell.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.fairness.FairQueue;
import org.cuminwell.core.fairness.OfferResult;
import org.cuminwell.core.fairness.QueuedRequest;
import org.cuminwell.core.limit.Admission;
import org.cuminwell.core.limit.Share;
import org.cuminwell.core.limit.ShareGranter;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.limit.ShareHolder.AddressedMessage;
import org.cuminwell.core.limit.TokenBucket;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.peer.PeerMessage;

/** Measures limits and queues in simulated time and prints the figures. Run by hand. */
public final class LimitBench {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int TICK_STEPS = 5;
  private static final int DELAY_MILLIS = 55;
  private static final int LENGTH_BYTES = 4;
  private static final RegionId REGION = new RegionId("coast");

  private LimitBench() {}

  /** Runs every measurement. */
  public static void main(String[] args) {
    System.out.println("load            rate  scheme        asked  refused%  within-rate-refused%");
    for (double load : new double[] {0.5, 0.8, 0.95, 5}) {
      for (boolean skewed : new boolean[] {false, true}) {
        refusals(load, skewed);
      }
    }
    lostHost();
    queue();
    bytes(args.length > 0 ? Integer.parseInt(args[0]) : 340);
  }

  /** Is a fleet whose messages take a fixed time and are counted in bytes. */
  private static final class Fleet {
    final List<ShareHolder> holders = new ArrayList<>();
    final Set<Integer> down = new HashSet<>();
    final ShareGranter granter = new ShareGranter();
    final PriorityQueue<Late> network = new PriorityQueue<>();
    final Configuration configuration;
    final int slots;
    Instant now = START;
    long order;
    long steps;
    long bytesToLeader;
    long bytesFromLeader;

    record Late(Instant at, long order, int holder, AddressedMessage message)
        implements Comparable<Late> {
      @Override
      public int compareTo(Late other) {
        int byTime = at.compareTo(other.at);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
      }
    }

    Fleet(int hosts, int slots, int customers, TokenLimit limit) {
      this.slots = slots;
      Map<CustomerId, Customer> all = new HashMap<>();
      for (int i = 0; i < customers; i++) {
        all.put(customer(i), new Customer(customer(i), Set.of(), limit, Set.of()));
      }
      Set<DataCentreId> dataCentres = new HashSet<>();
      for (int i = 0; i < hosts; i++) {
        dataCentres.add(dataCentre(i));
      }
      configuration =
          new Configuration(
              new Revision(1),
              all,
              Map.of(),
              Map.of(REGION, new Region(REGION, dataCentres)),
              Map.of());
      granter.configure(configuration);
      for (int i = 0; i < hosts; i++) {
        holders.add(holder(i));
        post(-1, granter.onConnected(host(i)));
      }
      post(-1, granter.becomeLeader(1, now));
    }

    private DataCentreId dataCentre(int host) {
      return new DataCentreId("dc" + host / slots);
    }

    private ShareHolder holder(int host) {
      ShareHolder holder = new ShareHolder(new Place(REGION, dataCentre(host)), slots, now);
      holder.configure(configuration, now);
      return holder;
    }

    void restart(int host) {
      holders.set(host, holder(host));
      post(-1, granter.onConnected(host(host)));
    }

    Customer of(int i) {
      Customer customer = configuration.customers().get(customer(i));
      if (customer == null) {
        throw new IllegalArgumentException("no customer " + i);
      }
      return customer;
    }

    void step() {
      now = now.plus(STEP);
      steps++;
      while (!network.isEmpty() && !network.peek().at().isAfter(now)) {
        deliver(network.poll());
      }
      if (steps % TICK_STEPS == 0) {
        post(-1, granter.tick(now));
        for (int i = 0; i < holders.size(); i++) {
          report(i);
        }
      }
    }

    void report(int host) {
      if (!down.contains(host)) {
        holders.get(host).tick(now).ifPresent(message -> post(host, List.of(message)));
      }
    }

    private void post(int from, List<AddressedMessage> messages) {
      for (AddressedMessage message : messages) {
        int bytes = size(message);
        if (from < 0) {
          bytesFromLeader += bytes;
        } else {
          bytesToLeader += bytes;
        }
        int holder = from < 0 ? Integer.parseInt(message.to().value().substring(4)) : from;
        network.add(new Late(now.plusMillis(DELAY_MILLIS), order++, holder, message));
      }
    }

    private void deliver(Late late) {
      boolean toLeader = late.message().to().value().equals("leader");
      if (down.contains(late.holder())) {
        return;
      }
      if (toLeader) {
        granter.onMessage(host(late.holder()), late.message().message(), now);
      } else {
        holders.get(late.holder()).onMessage(new HostId("leader"), late.message().message(), now);
      }
    }
  }

  private static int size(AddressedMessage message) {
    var frame = new PeerFrame.Message(new PeerMessage.Limits(message.message()));
    return PeerFrameCodec.encode(frame).length + LENGTH_BYTES;
  }

  private static HostId host(int i) {
    return new HostId("host" + i);
  }

  private static CustomerId customer(int i) {
    return new CustomerId("customer-" + i);
  }

  private static final class Tally {
    long refused;
    long refusedWithin;

    void count(boolean admitted, boolean centrally) {
      refused += admitted ? 0 : 1;
      refusedWithin += !admitted && centrally ? 1 : 0;
    }

    String row(long asked) {
      return String.format(
          "%8d %8.2f %12.2f", asked, 100.0 * refused / asked, 100.0 * refusedWithin / asked);
    }
  }

  private record Pending(int host, long tokens, Instant until, boolean centrally) {}

  /** Six gateways in three data centres, one customer of 1,000 tokens a second, ten minutes. */
  private static void refusals(double load, boolean skewed) {
    TokenLimit limit = new TokenLimit(1_000, 10_000);
    Fleet fleet = new Fleet(6, 2, 1, limit);
    SplittableRandom random = new SplittableRandom(42);
    TokenBucket central = TokenBucket.empty(1_000, 10_000, START);
    TokenBucket[] split = new TokenBucket[6];
    Arrays.setAll(split, i -> TokenBucket.empty(1_000 / 6.0, 10_000 / 6.0, START));
    Tally[] tallies = {new Tally(), new Tally(), new Tally(), new Tally()};
    List<Pending> pending = new ArrayList<>();
    long asked = 0;
    for (int i = 0; i < 31_000; i++) {
      fleet.step();
      boolean counted = i >= 1_000;
      retry(fleet, pending, tallies[1]);
      double meanTokens = 425;
      double perStep = load * 1_000 / meanTokens * STEP.toMillis() / 1e3;
      for (double left = perStep; left > 0; left--) {
        if (random.nextDouble() >= left) {
          continue;
        }
        long tokens = random.nextLong(50, 801);
        int favourite = (i / 1_500) % 6;
        int host = skewed && random.nextDouble() < 0.8 ? favourite : random.nextInt(6);
        boolean centrally = central.tryConsume(tokens, fleet.now);
        boolean static_ = split[host].tryConsume(tokens, fleet.now);
        Admission admission = fleet.holders.get(host).admit(fleet.of(0), tokens, fleet.now);
        if (!counted) {
          continue;
        }
        asked++;
        tallies[0].count(admission instanceof Admission.Admitted, centrally);
        if (admission instanceof Admission.ShareShort) {
          fleet.report(host);
          pending.add(new Pending(host, tokens, fleet.now.plusSeconds(2), centrally));
        } else {
          tallies[1].count(admission instanceof Admission.Admitted, centrally);
        }
        tallies[2].count(static_, centrally);
        tallies[3].count(centrally, centrally);
      }
    }
    String[] names = {"escrow, no wait", "escrow, 2 s wait", "static split", "central bucket"};
    for (int i = 0; i < names.length; i++) {
      System.out.printf(
          "%-10s %8.0f%%  %-16s %s%n",
          skewed ? "skewed" : "steady", load * 100, names[i], tallies[i].row(asked));
    }
  }

  private static void retry(Fleet fleet, List<Pending> pending, Tally tally) {
    pending.removeIf(
        call -> {
          Admission again =
              fleet.holders.get(call.host()).admitAgain(fleet.of(0), call.tokens(), fleet.now);
          boolean waits = again instanceof Admission.ShareShort && fleet.now.isBefore(call.until());
          if (!waits) {
            tally.count(again instanceof Admission.Admitted, call.centrally());
          }
          return !waits;
        });
  }

  /** All demand moves from a host that is lost to another; how long until that has its share. */
  private static void lostHost() {
    for (String fault : new String[] {"lost", "restarted", "stopped"}) {
      List<Long> times = new ArrayList<>();
      for (int seed = 0; seed < 50; seed++) {
        times.add(shareBack(fault, seed));
      }
      times.sort(null);
      System.out.printf(
          "share of a %s host at another after: least %d ms, median %d ms, most %d ms%n",
          fault, times.getFirst(), times.get(25), times.getLast());
    }
  }

  private static long shareBack(String fault, int seed) {
    Fleet fleet = new Fleet(6, 2, 1, new TokenLimit(10_000, 100_000));
    SplittableRandom random = new SplittableRandom(seed);
    int steps = 700 + random.nextInt(100);
    for (int i = 0; i < steps; i++) {
      fleet.step();
      var _ = fleet.holders.get(0).admit(fleet.of(0), 180, fleet.now);
    }
    Share before = fleet.holders.get(0).shareOf(customer(0));
    switch (fault) {
      case "lost" -> fleet.down.add(0);
      case "restarted" -> fleet.restart(0);
      case "stopped" -> fleet.holders.get(0).releaseShares();
      default -> throw new IllegalArgumentException(fault);
    }
    Instant lostAt = fleet.now;
    while (fleet.holders.get(2).shareOf(customer(0)).tokensPerSecond()
        < before.tokensPerSecond() * 9 / 10) {
      fleet.step();
      var _ = fleet.holders.get(2).admit(fleet.of(0), 180, fleet.now);
      if (Duration.between(lostAt, fleet.now).toSeconds() > 60) {
        break;
      }
    }
    return Duration.between(lostAt, fleet.now).toMillis();
  }

  private record Job(int customer, long cost, Instant at) {}

  /** Four customers at 15% of the capacity each and one at five times that, first in first out. */
  private static void queue() {
    for (boolean fair : new boolean[] {false, true}) {
      TreeMap<Integer, List<Long>> waits = new TreeMap<>();
      int[] refused = new int[5];
      int[] asked = new int[5];
      FairQueue queue = new FairQueue(fair ? 256 : 2_048, 2_048);
      Map<RequestId, Job> jobs = new HashMap<>();
      PriorityQueue<Instant> running = new PriorityQueue<>();
      SplittableRandom random = new SplittableRandom(7);
      for (int milli = 0; milli < 300_000; milli++) {
        Instant now = START.plusMillis(milli);
        for (int c = 0; c < 5; c++) {
          // 20 slots, a token takes 2 ms: 10,000 tokens a second; a request takes 400 on average.
          double perMilli = 0.15 * 10_000 / 400 / 1e3 * (c == 4 ? 5 : 1);
          if (random.nextDouble() < perMilli) {
            RequestId id = new RequestId("r" + milli + "-" + c);
            Job job = new Job(c, random.nextLong(100, 701), now);
            asked[c]++;
            QueuedRequest queuedRequest =
                new QueuedRequest(id, customer(fair ? c : 0), job.cost(), now.plusSeconds(10));
            if (queue.offer(queuedRequest, now) instanceof OfferResult.Queued) {
              jobs.put(id, job);
            } else {
              refused[c]++;
            }
          }
        }
        for (QueuedRequest late : queue.expire(now)) {
          Job job = jobs.remove(late.id());
          if (job != null) {
            refused[job.customer()]++;
          }
        }
        while (!running.isEmpty() && !running.peek().isAfter(now)) {
          var _ = running.poll();
        }
        while (running.size() < 20 && queue.size() > 0) {
          Job job = jobs.remove(queue.poll(now).orElseThrow().id());
          if (job != null) {
            running.add(now.plusMillis(job.cost() * 2));
            long wait = Duration.between(job.at(), now).toMillis();
            waits.computeIfAbsent(job.customer(), c -> new ArrayList<>()).add(wait);
          }
        }
      }
      for (int c : new int[] {0, 1, 2, 3, 4}) {
        List<Long> sorted = waits.getOrDefault(c, new ArrayList<>());
        sorted.sort(null);
        System.out.printf(
            "%-20s %-22s asked %5d refused %5.1f%% wait p50 %5d ms p99 %5d ms%n",
            fair ? "fair queue" : "one queue",
            c == 4 ? "customer at 5x" : "customer " + c + " at 1x",
            asked[c],
            100.0 * refused[c] / asked[c],
            sorted.get(sorted.size() / 2),
            sorted.get(sorted.size() * 99 / 100));
      }
    }
  }

  private record Unserved(int host, int customer, long step) {}

  private static boolean again(Fleet fleet, Unserved call) {
    ShareHolder holder = fleet.holders.get(call.host());
    return holder.admitAgain(fleet.of(call.customer()), 365, fleet.now)
        instanceof Admission.Admitted;
  }

  /** 2,600 customers that together send 6,300 requests and 2.3 million tokens a second. */
  private static void bytes(int gateways) {
    Fleet fleet = new Fleet(gateways, 7, 2_600, new TokenLimit(2_000, 20_000));
    SplittableRandom random = new SplittableRandom(3);
    double requestsPerStep = 6_300.0 * gateways / 340 * STEP.toMillis() / 1e3;
    long began = System.nanoTime();
    long admitted = 0;
    long asked = 0;
    long warm = 0;
    List<Unserved> pending = new ArrayList<>();
    for (int i = 0; i < 1_500; i++) {
      fleet.step();
      if (i == 750) {
        warm = fleet.bytesToLeader + fleet.bytesFromLeader;
      }
      for (Iterator<Unserved> each = pending.iterator(); each.hasNext(); ) {
        Unserved call = each.next();
        boolean in = again(fleet, call);
        if (in || fleet.steps - call.step() > 100) {
          each.remove();
          admitted += in && call.step() >= 750 ? 1 : 0;
        }
      }
      for (double left = requestsPerStep; left > 0; left--) {
        if (random.nextDouble() >= left) {
          continue;
        }
        int host = random.nextInt(gateways);
        int customer = random.nextInt(2_600);
        boolean in =
            fleet.holders.get(host).admit(fleet.of(customer), 365, fleet.now)
                instanceof Admission.Admitted;
        asked += i >= 750 ? 1 : 0;
        admitted += in && i >= 750 ? 1 : 0;
        if (!in) {
          fleet.report(host);
          pending.add(new Unserved(host, customer, fleet.steps));
        }
      }
    }
    double seconds = 750 * STEP.toMillis() / 1e3;
    System.out.printf(
        "%d gateways, 2600 customers: %.0f bytes a second a gateway, both ways; %.1f%% of requests"
            + " admitted within 2 s; %.1f s of machine time for %.0f s%n",
        gateways,
        (fleet.bytesToLeader + fleet.bytesFromLeader - warm) / seconds / gateways,
        100.0 * admitted / asked,
        (System.nanoTime() - began) / 1e9,
        1_500 * STEP.toMillis() / 1e3);
  }
}
