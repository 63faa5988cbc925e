package org.cuminwell.core.model;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Describes a route whose requests are forwarded unchanged, as the last change left it.
 *
 * <p>Invariant: the timeout is positive, the prefix begins and ends with a slash, and the weights
 * of the split sum to more than 0. Immutable and thread safe.
 *
 * @param host the host name that requests carry
 * @param pathPrefix the beginning of their path
 * @param timeout the longest time until the last byte of an answer
 * @param latencyTarget the time within which the first byte is worth most
 * @param rank the order in which requests give way when there is too little room; 0 goes first
 * @param split the services that share the requests
 * @param maxAttempts how many endpoints may run one request
 * @param anonymous whether requests need no key
 * @param cachesPrompts whether endpoints keep the prompts of this route for later requests
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

  /** Gives a service its part of a route's requests. Immutable and thread safe. */
  public record WeightedService(String service, int weight) {

    /**
     * Checks both parts.
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
   * Copies the collections and checks the parts.
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

  /** Returns the name by which no two routes may be equal. */
  public String hostAndPathPrefix() {
    return host + pathPrefix;
  }
}
