package org.cuminwell.shell.forward;

import java.time.Duration;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the settings of the warm-up of a gateway, see {@link WarmUp}. Immutable and thread safe.
 *
 * @param requestCount the number of requests that it sends to itself
 * @param timeLimit the maximum duration of the warm-up
 * @param callerAddress the address at which it accepts these requests; for the warm-up only
 * @param endpointAddress the address of the endpoint that responds to them
 */
public record WarmUpSettings(
    int requestCount, Duration timeLimit, HostAddress callerAddress, HostAddress endpointAddress) {

  /** Enough requests for the JIT to compile the code that forwards requests. */
  public static final int DEFAULT_REQUEST_COUNT = 400;

  /** The maximum delay of a start by the warm-up. */
  public static final Duration DEFAULT_TIME_LIMIT = Duration.ofMillis(1_500);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the request count or the time limit is negative
   */
  public WarmUpSettings {
    if (requestCount < 0 || timeLimit.isNegative()) {
      throw new IllegalArgumentException("request count and time limit must not be negative");
    }
  }
}
