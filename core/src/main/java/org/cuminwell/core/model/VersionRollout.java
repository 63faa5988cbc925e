package org.cuminwell.core.model;

import java.time.Instant;

/** Is a move of traffic to another version that was asked for. Immutable and thread safe. */
public sealed interface VersionRollout permits RouteRollout, ServiceRollout {

  /** Returns the version that traffic moves to. */
  VersionId to();

  /** Returns the time by which all traffic must have moved. */
  Instant deadline();

  /** Returns the bounds on the harm that the new version may do. */
  RolloutBounds bounds();

  /** Returns what is moved. */
  default RolloutSubject subject() {
    return switch (this) {
      case RouteRollout r -> new RolloutSubject.OfRoute(r.route());
      case ServiceRollout r -> new RolloutSubject.OfService(r.service());
    };
  }
}
