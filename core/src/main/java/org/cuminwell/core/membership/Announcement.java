package org.cuminwell.core.membership;

import java.time.Duration;
import java.util.Set;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Names;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.VersionId;

/**
 * Represents an endpoint's announcement of what it serves.
 *
 * <p>Invariant: capacity and time to live are positive. Immutable and thread safe.
 *
 * @param incarnation increases with each start of the endpoint, so that late messages of an earlier
 *     start are recognised
 * @param services the models or plain services that the endpoint serves
 * @param capacity how many requests the endpoint runs at once
 * @param timeToLive how long the announcement is valid after it was received
 * @param checksFencing whether the endpoint rejects orders with an outdated fencing number
 * @param sequence increases with each announcement of one incarnation; 0 if the endpoint does not
 *     number them
 * @param slowStartRemaining how long the endpoint can still handle only little load, counted from
 *     the announcement
 */
public record Announcement(
    EndpointId endpoint,
    long incarnation,
    Place place,
    HostAddress address,
    Set<String> services,
    VersionId version,
    int capacity,
    Duration timeToLive,
    boolean checksFencing,
    long sequence,
    Duration slowStartRemaining) {

  /**
   * Creates an announcement without a sequence number, of an endpoint that is not in slow start.
   */
  public Announcement(
      EndpointId endpoint,
      long incarnation,
      Place place,
      HostAddress address,
      Set<String> services,
      VersionId version,
      int capacity,
      Duration timeToLive,
      boolean checksFencing) {
    this(
        endpoint,
        incarnation,
        place,
        address,
        services,
        version,
        capacity,
        timeToLive,
        checksFencing,
        0,
        Duration.ZERO);
  }

  /**
   * Copies the set and checks the numbers.
   *
   * @throws IllegalArgumentException if a number is out of range or a service name is invalid
   */
  public Announcement {
    services = Set.copyOf(services);
    services.forEach(service -> Names.requireName(service, "service"));
    if (services.isEmpty()) {
      throw new IllegalArgumentException("an endpoint must serve at least one service");
    }
    if (capacity <= 0) {
      throw new IllegalArgumentException("capacity must be at least 1; found " + capacity);
    }
    if (!timeToLive.isPositive()) {
      throw new IllegalArgumentException("time to live must be positive; found " + timeToLive);
    }
  }

  /** Returns the start of the endpoint that the announcement is of. */
  public EndpointIncarnation endpointIncarnation() {
    return new EndpointIncarnation(endpoint, incarnation);
  }

  /**
   * Returns whether {@code later}, by the same endpoint, says nothing new but that the endpoint is
   * alive. An announcement in slow start is never renewed this way.
   */
  boolean isRenewedBy(Announcement later) {
    return slowStartRemaining.isZero() && equals(later.withSequence(sequence));
  }

  private Announcement withSequence(long other) {
    return new Announcement(
        endpoint,
        incarnation,
        place,
        address,
        services,
        version,
        capacity,
        timeToLive,
        checksFencing,
        other,
        slowStartRemaining);
  }
}
