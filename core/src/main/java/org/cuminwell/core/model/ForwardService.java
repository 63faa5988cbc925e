package org.cuminwell.core.model;

import java.time.Duration;

/**
 * Describes a service that requests are forwarded to.
 *
 * <p>Immutable and thread safe.
 *
 * @param healthPath where its endpoints tell whether they are well
 * @param maxConnections how many connections one endpoint takes from all hosts together
 * @param slowStartPeriod how long an endpoint is cold after a start under load; zero if it never is
 * @param slowStartRequestsPerSecond how many requests a second a cold endpoint bears
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
