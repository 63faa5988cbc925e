package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the validated settings of a gateway that forwards requests. Immutable and thread safe.
 *
 * @param callerAddress the address at which it listens for callers
 * @param readinessAddress the address at which it answers readiness probes, if it does
 * @param dialect translates the requests of callers and the responses of endpoints
 * @param bounds how long keys stay valid without news of the configuration, and how many retries
 *     are allowed
 * @param warmUp how it warms up before it accepts callers, if it does
 * @param processorShare the fraction of a processor core that this host has
 */
public record ForwardSettings(
    HostAddress callerAddress,
    Optional<HostAddress> readinessAddress,
    ForwardDialect dialect,
    ForwardBounds bounds,
    Optional<WarmUpSettings> warmUp,
    double processorShare) {

  /** The fraction of a core below which a host refuses requests on their heads at capacity. */
  private static final double MIN_SHARE_WITHOUT_SHEDDING = 0.5;

  /**
   * Returns whether requests are refused on their heads while this host is at capacity. Only a host
   * with a small part of a core reaches its capacity before the endpoints do.
   */
  public boolean shedsLoad() {
    return processorShare < MIN_SHARE_WITHOUT_SHEDDING;
  }
}
