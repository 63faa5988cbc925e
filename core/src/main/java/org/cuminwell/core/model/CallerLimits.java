package org.cuminwell.core.model;

import java.time.Duration;

/**
 * Bounds what callers may send and how long they may take. Immutable and thread safe.
 *
 * @param maxHeaderBytes the most that all headers of a request may take, in bytes
 * @param maxBodyBytes the most that a body may take, in bytes
 * @param headerTimeout how long the headers of a request may take to come
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The limits before any configuration. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4L * 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(60));
}
