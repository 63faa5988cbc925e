package org.cuminwell.core.membership;

import java.time.Duration;
import java.util.List;
import org.cuminwell.core.model.EndpointId;

/**
 * Describes the load that one gateway puts on endpoints at the moment of sending. Endpoints that it
 * does not list have no load from this gateway. Immutable and thread safe.
 *
 * @param number grows with each digest of a connection's sender; a lower one is outdated
 * @param prefixMaxAge how long ago the listed prefixes were sent at most
 */
public record LoadDigest(long number, Duration prefixMaxAge, List<Load> loads) {

  /** Copies the list. */
  public LoadDigest {
    loads = List.copyOf(loads);
  }

  /**
   * Describes the load on one endpoint. Immutable and thread safe.
   *
   * @param running the requests that were sent and have not ended
   * @param prefillTokensPerSecond the prefill tokens sent per second, averaged over {@code
   *     PrefillLoad.LONG_WINDOW_SECONDS}
   * @param prefixes hashes of the shared prompt prefixes sent since the receiver's last digest
   */
  public record Load(
      EndpointId endpoint, int running, long prefillTokensPerSecond, List<Long> prefixes) {

    /**
     * Checks the numbers and copies the list.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public Load {
      prefixes = List.copyOf(prefixes);
      if (running < 0 || prefillTokensPerSecond < 0) {
        throw new IllegalArgumentException("negative load of " + endpoint.value());
      }
    }
  }
}
