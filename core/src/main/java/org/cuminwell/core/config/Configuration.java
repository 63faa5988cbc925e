package org.cuminwell.core.config;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Rollout;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;

/**
 * Holds everything that tickets have put in force, at one revision.
 *
 * <p>Immutable and thread safe.
 */
public record Configuration(
    Revision revision,
    Map<CustomerId, Customer> customers,
    Map<RouteId, Route> routes,
    Map<RegionId, Region> regions,
    Map<RouteId, Rollout> rollouts) {

  /** The configuration before any ticket. */
  public static final Configuration EMPTY =
      new Configuration(Revision.ZERO, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public Configuration {
    customers = Map.copyOf(customers);
    routes = Map.copyOf(routes);
    regions = Map.copyOf(regions);
    rollouts = Map.copyOf(rollouts);
  }

  /**
   * Returns the configuration at {@code next} with the changes made.
   *
   * @throws IllegalArgumentException if {@code next} is not the revision after this one
   */
  public Configuration apply(Revision next, ConfigurationChange change) {
    if (!next.equals(revision.next())) {
      throw new IllegalArgumentException("revision " + next + " does not follow " + revision);
    }
    return new Configuration(
        next,
        replaced(customers, change.customers()),
        replaced(routes, change.routes()),
        replaced(regions, change.regions()),
        replaced(rollouts, change.rollouts()));
  }

  /** Returns the region of a data centre, if a ticket has named one. */
  public Optional<RegionId> regionOf(DataCentreId dataCentre) {
    return regions.values().stream()
        .filter(region -> region.dataCentres().contains(dataCentre))
        .map(Region::id)
        .findFirst();
  }

  private static <K extends Comparable<K>, V> Map<K, V> replaced(
      Map<K, V> before, Map<K, Optional<V>> changes) {
    if (changes.isEmpty()) {
      return before;
    }
    Map<K, V> after = new TreeMap<>(before);
    changes.forEach(
        (key, value) -> value.ifPresentOrElse(v -> after.put(key, v), () -> after.remove(key)));
    return after;
  }
}
