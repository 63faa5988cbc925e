package org.cuminwell.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Describes a route whose requests are forwarded unchanged to a service.
 *
 * <p>Invariant: the timeout is positive, the prefix begins and ends with a slash, and the weights
 * of the split sum to more than 0. Immutable and thread safe.
 *
 * @param host the host name that requests of the route carry
 * @param pathPrefix the prefix of the paths of these requests
 * @param retrySemantics whether a request may run more than once
 * @param timeout the maximum time until the last byte of a response
 * @param latencyTarget the target for the time to the first byte of a response
 * @param rank the priority of requests when capacity is short; 0 is the highest
 * @param split the services that share the requests, by weight
 * @param maxAttempts the maximum number of attempts for one request
 * @param anonymous whether requests need no key
 * @param cachesPrompts whether endpoints cache the prompts of this route for later requests
 * @param boundTo the regions that requests must stay in; empty if they may go anywhere
 */
public record ForwardRoute(
    RouteId id,
    String host,
    String pathPrefix,
    RetrySemantics retrySemantics,
    Duration timeout,
    Duration latencyTarget,
    int rank,
    List<WeightedService> split,
    int maxAttempts,
    boolean anonymous,
    boolean cachesPrompts,
    Set<RegionId> boundTo) {

  /** Assigns a service its weight in the split of a route's requests. Immutable and thread safe. */
  public record WeightedService(String service, int weight) {

    /**
     * Checks the name and the weight.
     *
     * @throws IllegalArgumentException if the service is not a name or the weight is negative
     */
    public WeightedService {
      Names.requireName(service, "service");
      if (weight < 0) {
        throw new IllegalArgumentException("weight must be at least 0; found " + weight);
      }
    }
  }

  /**
   * Copies the collections and checks the invariants.
   *
   * @throws IllegalArgumentException if an invariant does not hold
   */
  public ForwardRoute {
    split = List.copyOf(split);
    boundTo = Set.copyOf(boundTo);
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException(
          "a path prefix must begin and end with '/'; found '" + pathPrefix + "'");
    }
    if (!timeout.isPositive()) {
      throw new IllegalArgumentException("route timeout must be positive; found " + timeout);
    }
    if (split.stream().mapToLong(WeightedService::weight).sum() <= 0) {
      throw new IllegalArgumentException("the weights of route " + id + " sum to 0");
    }
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("attempts must be at least 1; found " + maxAttempts);
    }
  }

  /** Returns the host name and the path prefix, which together are unique among routes. */
  public String hostAndPathPrefix() {
    return host + pathPrefix;
  }
}
