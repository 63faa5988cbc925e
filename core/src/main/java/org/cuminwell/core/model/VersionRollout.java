package org.cuminwell.core.model;

import java.time.Instant;

/**
 * Describes a requested rollout, which moves traffic to another version. Immutable and thread safe.
 */
public sealed interface VersionRollout permits RouteRollout, ServiceRollout {

  /** Returns the version that traffic moves to. */
  VersionId to();

  /** Returns the time by which all traffic must have moved. */
  Instant deadline();

  /** Returns how much worse the new version may do than the old one. */
  RolloutBounds bounds();

  /** Returns the route or service that is moved to the new version. */
  default RolloutSubject subject() {
    return switch (this) {
      case RouteRollout r -> new RolloutSubject.OfRoute(r.route());
      case ServiceRollout r -> new RolloutSubject.OfService(r.service());
    };
  }
}
