package org.cuminwell.core.membership;

import java.time.Duration;
import java.util.Set;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Names;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.VersionId;

/**
 * Says what an endpoint serves, as it tells of itself.
 *
 * <p>Invariant: capacity and time to live are positive. Immutable and thread safe.
 *
 * @param incarnation grows with each start of the endpoint, so that late news of an earlier life is
 *     told apart
 * @param services the models or plain services that it serves
 * @param capacity how many requests it runs at once
 * @param timeToLive how long the announcement counts after it was heard
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param sequence grows with each announcement of one incarnation; 0 if the endpoint counts none
 * @param slowStartRemaining how long it still bears little load, counted from the announcement
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

  /** Makes the announcement of an endpoint that is warm and counts no announcements. */
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
   * @throws IllegalArgumentException if a number is out of range or a service is not a name
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

  /** Returns whether {@code later}, by the same endpoint, tells nothing but that it still lives. */
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
