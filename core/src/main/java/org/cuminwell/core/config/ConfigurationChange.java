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
 * Carries the whole new state of each thing it touches; an empty value removes the thing.
 *
 * <p>Since every value is whole, applying a change is a replacement and never depends on what stood
 * there before. Immutable and thread safe.
 */
public record ConfigurationChange(
    Map<CustomerId, Optional<Customer>> customers,
    Map<RouteId, Optional<Route>> routes,
    Map<RegionId, Optional<Region>> regions,
    Map<RouteId, Optional<RouteRollout>> rollouts,
    Forwarding.Change forwarding) {

  /** Changes nothing. */
  public static final ConfigurationChange NONE =
      new ConfigurationChange(Map.of(), Map.of(), Map.of(), Map.of());

  /** Makes a change that does not touch forwarded requests. */
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

  /** Returns whether nothing is touched. */
  public boolean isEmpty() {
    return equals(NONE);
  }
}
