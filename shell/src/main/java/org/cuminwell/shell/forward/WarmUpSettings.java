package org.cuminwell.shell.forward;

import java.time.Duration;
import org.cuminwell.core.model.HostAddress;

/**
 * Says how a gateway warms up before callers come. Immutable and thread safe.
 *
 * @param requestCount how many requests it sends itself
 * @param timeLimit how long it may take
 * @param callerAddress where it listens for them, and for nobody else's
 * @param endpointAddress where it answers them
 */
public record WarmUpSettings(
    int requestCount, Duration timeLimit, HostAddress callerAddress, HostAddress endpointAddress) {

  /** How many requests suffice for the path of requests to be compiled. */
  public static final int DEFAULT_REQUEST_COUNT = 400;

  /** How long a start may be put off. */
  public static final Duration DEFAULT_TIME_LIMIT = Duration.ofMillis(1_500);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is negative
   */
  public WarmUpSettings {
    if (requestCount < 0 || timeLimit.isNegative()) {
      throw new IllegalArgumentException("requests and time limit must be 0 or more");
    }
  }
}
