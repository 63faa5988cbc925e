package org.cuminwell.core.config;

import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;

/**
 * Holds a set of replacements to a configuration: each map holds the new value of every item that
 * changes, or empty for an item that is removed.
 *
 * <p>Since values are replaced whole, the result for an item never depends on its previous value.
 * Immutable and thread safe.
 */
public record ConfigurationChange(
    Map<CustomerId, Optional<Customer>> customers,
    Map<RouteId, Optional<Route>> routes,
    Map<RegionId, Optional<Region>> regions,
    Map<RouteId, Optional<RouteRollout>> rollouts,
    Forwarding.Change forwarding) {

  /** The change without any replacement. */
  public static final ConfigurationChange NONE =
      new ConfigurationChange(Map.of(), Map.of(), Map.of(), Map.of());

  /** Creates a change that leaves forwarded requests alone. */
  public ConfigurationChange(
      Map<CustomerId, Optional<Customer>> customers,
      Map<RouteId, Optional<Route>> routes,
      Map<RegionId, Optional<Region>> regions,
      Map<RouteId, Optional<RouteRollout>> rollouts) {
    this(customers, routes, regions, rollouts, Forwarding.Change.NONE);
  }

  /** Copies the maps. */
  public ConfigurationChange {
    customers = Map.copyOf(customers);
    routes = Map.copyOf(routes);
    regions = Map.copyOf(regions);
    rollouts = Map.copyOf(rollouts);
  }

  /** Returns whether this change replaces nothing. */
  public boolean isEmpty() {
    return equals(NONE);
  }
}
