package org.cuminwell.core.residency;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Route;

/**
 * Decides in which regions a request may be read and run. No other class makes this decision.
 *
 * <p>The customer and the route may each restrict the regions; a request must satisfy both.
 * Immutable and thread safe.
 */
public sealed interface Residency {

  /** Returns the residency of the customer's requests on the route. */
  static Residency of(Customer customer, Route route) {
    return of(customer).and(of(route.boundTo()));
  }

  /** Returns the residency of all requests of the customer. */
  static Residency of(Customer customer) {
    return of(customer.boundTo());
  }

  /**
   * Returns the residency of a request that is bound to {@code regions}, or unbound if the set is
   * empty.
   */
  static Residency of(Set<RegionId> regions) {
    return regions.isEmpty() ? new Unbound() : new Bound(regions);
  }

  /** Allows every region. */
  record Unbound() implements Residency {}

  /** Allows only the given regions; an empty set allows none. */
  record Bound(Set<RegionId> regions) implements Residency {
    /** Copies the set. */
    public Bound {
      regions = Set.copyOf(regions);
    }
  }

  /** Returns whether the request may be read and run in {@code region}. */
  default boolean allows(RegionId region) {
    return switch (this) {
      case Unbound u -> true;
      case Bound b -> b.regions().contains(region);
    };
  }

  /** Returns the regions that the request must stay in, or empty if every region is allowed. */
  default Optional<Set<RegionId>> allowedRegions() {
    return switch (this) {
      case Unbound u -> Optional.empty();
      case Bound b -> Optional.of(b.regions());
    };
  }

  /** Returns the residency that satisfies both. */
  default Residency and(Residency other) {
    return switch (this) {
      case Unbound u -> other;
      case Bound b ->
          switch (other) {
            case Unbound u -> this;
            case Bound o ->
                new Bound(
                    b.regions().stream()
                        .filter(o.regions()::contains)
                        .collect(Collectors.toUnmodifiableSet()));
          };
    };
  }
}
