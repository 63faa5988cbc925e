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
 * Holds the whole configuration in force at one revision.
 *
 * <p>Immutable and thread safe.
 *
 * @param rollouts the version rollouts that tickets ask for, by route
 * @param forwarding the part about forwarded requests
 */
public record Configuration(
    Revision revision,
    Map<CustomerId, Customer> customers,
    Map<RouteId, Route> routes,
    Map<RegionId, Region> regions,
    Map<RouteId, RouteRollout> rollouts,
    Forwarding forwarding) {

  /** The configuration before the first change. */
  public static final Configuration EMPTY =
      new Configuration(Revision.ZERO, Map.of(), Map.of(), Map.of(), Map.of());

  /** Creates a configuration without forwarded routes. */
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
   * Returns this configuration with the change applied, at revision {@code next}.
   *
   * @throws IllegalArgumentException if {@code next} is not the revision after this one
   */
  public Configuration apply(Revision next, ConfigurationChange change) {
    if (!next.equals(revision.next())) {
      throw new IllegalArgumentException(
          "revision " + next + " is not the next revision after " + revision);
    }
    return new Configuration(
        next,
        Forwarding.applyReplacements(customers, change.customers()),
        Forwarding.applyReplacements(routes, change.routes()),
        Forwarding.applyReplacements(regions, change.regions()),
        Forwarding.applyReplacements(rollouts, change.rollouts()),
        forwarding.apply(change.forwarding()));
  }

  /** Returns the region that contains the data centre, if there is one. */
  public Optional<RegionId> regionOf(DataCentreId dataCentre) {
    return regions.values().stream()
        .filter(region -> region.dataCentres().contains(dataCentre))
        .map(Region::id)
        .findFirst();
  }

  /** Returns this configuration with another part about forwarded requests. */
  public Configuration withForwarding(Forwarding other) {
    return new Configuration(revision, customers, routes, regions, rollouts, other);
  }

  /** Returns the change that turns this configuration into the content of {@code next}. */
  public ConfigurationChange changeTo(Configuration next) {
    return new ConfigurationChange(
        Forwarding.difference(customers, next.customers),
        Forwarding.difference(routes, next.routes),
        Forwarding.difference(regions, next.regions),
        Forwarding.difference(rollouts, next.rollouts),
        forwarding.changeTo(next.forwarding));
  }
}
