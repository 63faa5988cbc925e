package org.cuminwell.core.membership;

import org.cuminwell.core.model.EndpointId;

/**
 * Reports the load of an endpoint. Immutable and thread safe.
 *
 * <p>Invariant: the counts are not negative.
 *
 * @param running how many requests the endpoint was running
 * @param queued how many requests were waiting in the endpoint
 * @param reportedSequence increases with each report of one incarnation
 */
public record LoadReport(
    EndpointId endpoint, long incarnation, long reportedSequence, int running, int queued) {

  /**
   * Checks the counts.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public LoadReport {
    if (running < 0 || queued < 0) {
      throw new IllegalArgumentException(
          "the numbers of running and queued requests must not be negative");
    }
  }
}
