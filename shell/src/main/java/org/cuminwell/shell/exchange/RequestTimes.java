package org.cuminwell.shell.exchange;

import java.time.Instant;
import java.util.Optional;

/**
 * Holds what is known of the times of a request, by the clock of its listener. Immutable and thread
 * safe.
 *
 * @param headReceivedAt when its head had been received
 * @param bounds the bounds of its age, if its listener knows them
 */
public record RequestTimes(Instant headReceivedAt, Optional<AgeBounds> bounds) {

  /**
   * Bounds the age of a request. Immutable and thread safe.
   *
   * @param sentAfter a time before which the request was not sent
   * @param arrivedAfter a time before which the request did not arrive, which is not earlier
   */
  public record AgeBounds(Instant sentAfter, Instant arrivedAfter) {}
}
