package org.cuminwell.core.model;

import java.time.Instant;

/**
 * Describes a rollout of a route to another version, as operators requested it by ticket.
 *
 * <p>Invariant: the two versions differ. Immutable and thread safe.
 *
 * @param deadline the time by which all traffic must have moved
 */
public record RouteRollout(
    RouteId route, VersionId from, VersionId to, Instant deadline, RolloutBounds bounds)
    implements VersionRollout {

  /**
   * Checks the versions.
   *
   * @throws IllegalArgumentException if both versions are the same
   */
  public RouteRollout {
    if (from.equals(to)) {
      throw new IllegalArgumentException("a rollout must move to another version; found " + to);
    }
  }
}
