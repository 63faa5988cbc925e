package org.cuminwell.core.config;

import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;

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
    Map<RouteId, RouteRollout> rollouts,
    Forwarding forwarding) {

  /** The configuration before any ticket. */
  public static final Configuration EMPTY =
      new Configuration(Revision.ZERO, Map.of(), Map.of(), Map.of(), Map.of());

  /** Makes a configuration that forwards nothing. */
  public Configuration(
      Revision revision,
      Map<CustomerId, Customer> customers,
      Map<RouteId, Route> routes,
      Map<RegionId, Region> regions,
      Map<RouteId, RouteRollout> rollouts) {
    this(revision, customers, routes, regions, rollouts, Forwarding.NONE);
  }

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
        Forwarding.replaced(customers, change.customers()),
        Forwarding.replaced(routes, change.routes()),
        Forwarding.replaced(regions, change.regions()),
        Forwarding.replaced(rollouts, change.rollouts()),
        forwarding.apply(change.forwarding()));
  }

  /** Returns the region of a data centre, if a ticket has named one. */
  public Optional<RegionId> regionOf(DataCentreId dataCentre) {
    return regions.values().stream()
        .filter(region -> region.dataCentres().contains(dataCentre))
        .map(Region::id)
        .findFirst();
  }

  /** Returns the same configuration with another part about forwarded requests. */
  public Configuration withForwarding(Forwarding other) {
    return new Configuration(revision, customers, routes, regions, rollouts, other);
  }

  /** Returns the change that leads from this configuration to the content of {@code next}. */
  public ConfigurationChange changeTo(Configuration next) {
    return new ConfigurationChange(
        Forwarding.difference(customers, next.customers),
        Forwarding.difference(routes, next.routes),
        Forwarding.difference(regions, next.regions),
        Forwarding.difference(rollouts, next.rollouts),
        forwarding.changeTo(next.forwarding));
  }
}
