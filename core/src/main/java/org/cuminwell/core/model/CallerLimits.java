package org.cuminwell.core.model;

import java.time.Duration;

/**
 * Limits the size of a request and the time that a caller may take to send it. Immutable and thread
 * safe.
 *
 * @param maxHeaderBytes the maximum size of all headers of a request together, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time until all headers of a request have arrived
 * @param idleTimeout the maximum time that a connection may stay open without a request
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The limits that apply until a configuration sets others. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4L * 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(60));
}
