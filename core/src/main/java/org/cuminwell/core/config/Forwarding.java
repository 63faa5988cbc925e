package org.cuminwell.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.rollout.ServiceRolloutState;

/**
 * Holds the part of a configuration that is about forwarded requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param evacuated the data centres whose endpoints get no requests
 * @param serviceRollouts the version rollouts of services
 */
public record Forwarding(
    Map<RouteId, ForwardRoute> routes,
    Map<String, ForwardService> services,
    CallerLimits limits,
    Set<DataCentreId> evacuated,
    Map<String, ServiceRolloutState> serviceRollouts) {

  /** Forwards nothing. */
  public static final Forwarding NONE =
      new Forwarding(Map.of(), Map.of(), CallerLimits.DEFAULT, Set.of());

  /** Makes the state before any version rollout. */
  public Forwarding(
      Map<RouteId, ForwardRoute> routes,
      Map<String, ForwardService> services,
      CallerLimits limits,
      Set<DataCentreId> evacuated) {
    this(routes, services, limits, evacuated, Map.of());
  }

  /** Copies the collections. */
  public Forwarding {
    routes = Map.copyOf(routes);
    services = Map.copyOf(services);
    evacuated = Set.copyOf(evacuated);
    serviceRollouts = Map.copyOf(serviceRollouts);
  }

  /** Carries the whole new state of each part it touches. Immutable and thread safe. */
  public record Change(
      Map<RouteId, Optional<ForwardRoute>> routes,
      Map<String, Optional<ForwardService>> services,
      Optional<CallerLimits> limits,
      Optional<Set<DataCentreId>> evacuated,
      Map<String, Optional<ServiceRolloutState>> serviceRollouts) {

    /** Changes nothing. */
    public static final Change NONE =
        new Change(Map.of(), Map.of(), Optional.empty(), Optional.empty(), Map.of());

    /** Copies the collections. */
    public Change {
      routes = Map.copyOf(routes);
      services = Map.copyOf(services);
      evacuated = evacuated.map(Set::copyOf);
      serviceRollouts = Map.copyOf(serviceRollouts);
    }

    /** Returns whether nothing is touched. */
    public boolean isEmpty() {
      return equals(NONE);
    }
  }

  /** Returns the state after the change. */
  public Forwarding apply(Change change) {
    return change.isEmpty()
        ? this
        : new Forwarding(
            replaced(routes, change.routes()),
            replaced(services, change.services()),
            change.limits().orElse(limits),
            change.evacuated().orElse(evacuated),
            replaced(serviceRollouts, change.serviceRollouts()));
  }

  /** Returns the change that leads from this state to {@code next}. */
  public Change changeTo(Forwarding next) {
    return new Change(
        difference(routes, next.routes),
        difference(services, next.services),
        limits.equals(next.limits) ? Optional.empty() : Optional.of(next.limits),
        evacuated.equals(next.evacuated) ? Optional.empty() : Optional.of(next.evacuated),
        difference(serviceRollouts, next.serviceRollouts));
  }

  /** Returns the same state with other data centres evacuated. */
  public Forwarding withEvacuated(Set<DataCentreId> others) {
    return new Forwarding(routes, services, limits, others, serviceRollouts);
  }

  /** Returns the same state with other moves of a service. */
  public Forwarding withServiceRollouts(String service, ServiceRolloutState next) {
    return new Forwarding(
        routes,
        services,
        limits,
        evacuated,
        replaced(serviceRollouts, Map.of(service, Optional.of(next))));
  }

  /** Returns the same state with what is ordered beside configurations taken from another. */
  public Forwarding withOrdersOf(Forwarding other) {
    return new Forwarding(routes, services, limits, other.evacuated, other.serviceRollouts);
  }

  static <K extends Comparable<K>, V> Map<K, V> replaced(
      Map<K, V> before, Map<K, Optional<V>> changes) {
    if (changes.isEmpty()) {
      return before;
    }
    Map<K, V> after = new TreeMap<>(before);
    changes.forEach(
        (key, value) -> value.ifPresentOrElse(v -> after.put(key, v), () -> after.remove(key)));
    return after;
  }

  static <K, V> Map<K, Optional<V>> difference(Map<K, V> before, Map<K, V> after) {
    Map<K, Optional<V>> changes = new HashMap<>();
    after.forEach(
        (key, value) -> {
          if (!Objects.equals(before.get(key), value)) {
            changes.put(key, Optional.of(value));
          }
        });
    before.keySet().stream()
        .filter(key -> !after.containsKey(key))
        .forEach(key -> changes.put(key, Optional.empty()));
    return changes;
  }
}
