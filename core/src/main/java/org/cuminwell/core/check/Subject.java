package org.cuminwell.core.check;

import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RouteId;

/** Names the entry of a configuration that a finding is about. Immutable and thread safe. */
public sealed interface Subject {

  /** Names the configuration as a whole. */
  record Whole() implements Subject {}

  /** Names a customer. */
  record OfCustomer(CustomerId id) implements Subject {}

  /** Names a route. */
  record OfRoute(RouteId id) implements Subject {}

  /** Names a service. */
  record OfService(String name) implements Subject {}

  /** Names a region. */
  record OfRegion(RegionId id) implements Subject {}

  /** Names the limits on each caller. */
  record OfLimits() implements Subject {}

  /** Returns the kind of the entry in one word. */
  default String kind() {
    return switch (this) {
      case Whole s -> "configuration";
      case OfCustomer s -> "customer";
      case OfRoute s -> "route";
      case OfService s -> "service";
      case OfRegion s -> "region";
      case OfLimits s -> "limits";
    };
  }

  /** Returns the name of the entry; empty for one that has none. */
  default String name() {
    return switch (this) {
      case Whole s -> "";
      case OfCustomer s -> s.id().value();
      case OfRoute s -> s.id().value();
      case OfService s -> s.name();
      case OfRegion s -> s.id().value();
      case OfLimits s -> "";
    };
  }
}
