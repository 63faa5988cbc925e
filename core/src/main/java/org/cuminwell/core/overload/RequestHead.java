package org.cuminwell.core.overload;

import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RouteId;

/**
 * Holds what the head of a request shows about its place in the order of shedding. Immutable and
 * thread safe.
 *
 * @param seed a number that depends on the request's id alone, from which jitter is derived
 * @param customer the customer; empty on anonymous routes and for unknown keys
 * @param customerRank the priority of the customer; 0 is the highest
 * @param routeRank the priority of the route; 0 is the highest
 * @param latencyTarget the target for the time to the first event of the response
 * @param timeout the longest time that a caller of the route waits
 * @param timeLeft how long the caller will still wait; less than the timeout if it has tried before
 */
public record RequestHead(
    long seed,
    Optional<CustomerId> customer,
    RouteId route,
    int customerRank,
    int routeRank,
    Duration latencyTarget,
    Duration timeout,
    Duration timeLeft) {

  /** The rank of a customer whose key is unknown, behind all others. */
  public static final int UNKNOWN_RANK = Integer.MAX_VALUE;

  /** Returns how long the caller has waited before this request. */
  Duration timeSpent() {
    Duration spent = timeout.minus(timeLeft);
    return spent.isNegative() ? Duration.ZERO : spent;
  }

  /** Returns a number from 0 to 1 that depends on the request's id and the purpose alone. */
  double uniform(int purpose) {
    long mixed = seed + (purpose + 1) * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53;
  }
}
