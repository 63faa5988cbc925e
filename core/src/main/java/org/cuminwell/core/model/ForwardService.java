package org.cuminwell.core.model;

import java.time.Duration;

/**
 * Describes a service that requests are forwarded to.
 *
 * <p>Immutable and thread safe.
 *
 * @param healthPath the path of the endpoints' health check
 * @param maxConnections the maximum number of connections to one endpoint from all hosts together
 * @param slowStartPeriod how long the slow start of an endpoint that starts under load lasts; zero
 *     if there is none
 * @param slowStartRequestsPerSecond the maximum rate of requests to an endpoint in slow start from
 *     all gateways together; zero if it is not limited
 */
public record ForwardService(
    String name,
    String healthPath,
    int maxConnections,
    Duration slowStartPeriod,
    double slowStartRequestsPerSecond) {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if it is not a name
   */
  public ForwardService {
    Names.requireName(name, "service");
  }
}
