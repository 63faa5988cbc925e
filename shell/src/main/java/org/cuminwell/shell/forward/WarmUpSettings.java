package org.cuminwell.shell.forward;

import org.cuminwell.core.model.HostAddress;

/**
 * Says how a gateway warms up before callers come. Immutable and thread safe.
 *
 * @param requests how many requests it sends itself
 * @param callers where it listens for them, and for nobody else's
 * @param endpoint where it answers them
 */
public record WarmUpSettings(int requests, HostAddress callers, HostAddress endpoint) {

  /** How many requests suffice for the path of requests to be compiled. */
  public static final int DEFAULT_REQUESTS = 400;

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public WarmUpSettings {
    if (requests < 0) {
      throw new IllegalArgumentException("the number of requests must be 0 or more");
    }
  }
}
