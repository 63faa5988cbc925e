package org.cuminwell.core.model;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Describes a route in the configuration, as its latest ticket set it.
 *
 * <p>Immutable and thread safe.
 *
 * @param boundTo the regions that requests of the route must stay in; empty if it is not bound
 * @param anonymousCustomer the customer that requests without a key run for and are charged to;
 *     empty if a key is required
 * @param timeout the maximum duration of one request, all attempts together
 */
public record Route(
    RouteId id,
    Service service,
    Set<RegionId> boundTo,
    Optional<CustomerId> anonymousCustomer,
    Duration timeout) {

  /**
   * Copies the set and checks the timeout.
   *
   * @throws IllegalArgumentException if the timeout is not positive
   */
  public Route {
    boundTo = Set.copyOf(boundTo);
    if (!timeout.isPositive()) {
      throw new IllegalArgumentException("route timeout must be positive; found " + timeout);
    }
  }
}
