package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;

/**
 * Divides a rate of requests among groups by priority, and each group's part among its customers.
 *
 * <p>Order: each group gets a quarter of the mean part; a quarter of the rate goes to groups whose
 * service has room; the rest goes to the groups by priority. Within a group no customer gets more
 * than a level that all who want it reach, and its requests are admitted by {@link Turn}. Not
 * thread safe.
 */
final class AdmissionPlan {

  /** The part of the mean that each group gets, so that none is served much less than others. */
  private static final double FLOOR = 0.25;

  /** The part of the rate that is first offered to requests whose service has room. */
  private static final double RESERVE = 0.25;

  private static final Duration HALF_LIFE = Duration.ofMillis(200);

  /** Customers that send less than this, in requests per second, are removed. */
  private static final double MIN_RATE = 0.01;

  private final Map<Group, GroupDemand> groups = new HashMap<>();

  /** Identifies requests that are treated alike. */
  record Group(int customerRank, int routeRank, boolean hasRoom) implements Comparable<Group> {

    private static final Comparator<Group> BY_PRIORITY =
        Comparator.comparingInt(Group::customerRank)
            .thenComparingInt(Group::routeRank)
            .thenComparing(Group::hasRoom, Comparator.reverseOrder());

    @Override
    public int compareTo(Group other) {
      return BY_PRIORITY.compare(this, other);
    }
  }

  private static final class GroupDemand {
    final Map<Optional<CustomerId>, Demand> customers = new HashMap<>();
    double offered;
    double given;

    /** The rate up to which each customer is served, in requests per second. */
    double level;
  }

  private static final class Demand {
    final Map<Turn, DecayingRate> rates = new EnumMap<>(Turn.class);
    final Map<Turn, Double> perSecond = new EnumMap<>(Turn.class);

    void record(Turn turn, Instant now) {
      rates.computeIfAbsent(turn, _ -> new DecayingRate(HALF_LIFE, now)).record(now);
    }

    void measure(Instant now) {
      rates.forEach((turn, rate) -> perSecond.put(turn, rate.perSecond(now)));
    }

    double perSecond() {
      return perSecond.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns which part of the requests of a turn is served if {@code level} are in all. */
    double part(Turn turn, double level) {
      double left = level;
      for (Map.Entry<Turn, Double> rate : perSecond.entrySet()) {
        if (rate.getKey().compareTo(turn) < 0) {
          left -= rate.getValue();
        }
      }
      double offered = perSecond.getOrDefault(turn, 0.0);
      return left >= offered ? 1 : Math.max(0, left / offered);
    }
  }

  /**
   * Counts a request and returns the probability from 0 to 1 with which it is to be admitted at the
   * given rate in requests per second.
   */
  double offer(Group group, Optional<CustomerId> customer, Turn turn, double rate, Instant now) {
    GroupDemand known = groups.get(group);
    GroupDemand demand = groups.computeIfAbsent(group, _ -> new GroupDemand());
    Demand own = demand.customers.computeIfAbsent(customer, _ -> new Demand());
    own.record(turn, now);
    if (known == null) {
      divide(rate, now);
    } else {
      own.measure(now);
    }
    return own.part(turn, demand.level);
  }

  /** Divides the rate anew, by the requests that were offered lately. */
  void divide(double rate, Instant now) {
    List<GroupDemand> byPriority = measure(now);
    double offered = byPriority.stream().mapToDouble(group -> group.offered).sum();
    double floor = offered > 0 ? Math.min(1, FLOOR * rate / offered) : 1;
    double left = rate;
    for (GroupDemand group : byPriority) {
      group.given = floor * group.offered;
      left -= group.given;
    }
    double reserved = Math.max(0, Math.min(left, RESERVE * rate));
    double unused = give(groupsWithRoom(), reserved); // What they don't need is for all.
    double rest = give(byPriority, left - reserved + unused);
    for (GroupDemand group : byPriority) {
      group.level = level(group, rest > 0);
    }
  }

  /** Returns all requests that were offered lately, per second. */
  double offeredPerSecond(Instant now) {
    return measure(now).stream().mapToDouble(group -> group.offered).sum();
  }

  /** Returns the groups by priority, with their rates as of now. */
  private List<GroupDemand> measure(Instant now) {
    for (GroupDemand group : groups.values()) {
      group.customers.values().forEach(customer -> customer.measure(now));
      group.customers.values().removeIf(customer -> customer.perSecond() < MIN_RATE);
      group.offered = group.customers.values().stream().mapToDouble(Demand::perSecond).sum();
    }
    groups.values().removeIf(group -> group.customers.isEmpty());
    return groups.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(Map.Entry::getValue)
        .toList();
  }

  private List<GroupDemand> groupsWithRoom() {
    return groups.entrySet().stream()
        .filter(entry -> entry.getKey().hasRoom())
        .sorted(Map.Entry.comparingByKey())
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Gives the groups in turn what they still lack, and returns what is left of the rate. */
  private static double give(List<GroupDemand> inTurn, double rate) {
    double left = rate;
    for (GroupDemand group : inTurn) {
      double more = Math.max(0, Math.min(left, group.offered - group.given));
      group.given += more;
      left -= more;
    }
    return left;
  }

  /** Returns the level at which the group's customers together use what the group is given. */
  private static double level(GroupDemand group, boolean isAllServed) {
    if (isAllServed || group.given >= group.offered) {
      return Double.POSITIVE_INFINITY;
    }
    double left = group.given;
    List<Demand> ascending =
        group.customers.values().stream()
            .sorted(Comparator.comparingDouble(Demand::perSecond))
            .toList();
    for (int i = 0; i < ascending.size(); i++) {
      double even = left / (ascending.size() - i);
      if (ascending.get(i).perSecond() > even) {
        return even;
      }
      left -= ascending.get(i).perSecond();
    }
    return Double.POSITIVE_INFINITY;
  }
}
