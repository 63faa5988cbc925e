package org.cuminwell.core.overload;

import java.time.Duration;

/** Reports that a gateway starts or stops to shed load. Immutable and thread safe. */
public sealed interface OverloadLogEvent {

  /**
   * Reports that the gateway refuses requests on their heads from now on.
   *
   * @param source where most of the delay arises
   * @param delay the delay that no request escapes
   * @param bound the delay above which load is shed
   * @param perSecond how many requests are admitted per second at first
   */
  record Began(DelaySource source, Duration delay, Duration bound, double perSecond)
      implements OverloadLogEvent {}

  /**
   * Reports that the gateway admits all requests again.
   *
   * @param lasted the time since it began to shed load
   * @param refused how many requests it refused in this time
   */
  record Ended(Duration lasted, long refused) implements OverloadLogEvent {}
}
