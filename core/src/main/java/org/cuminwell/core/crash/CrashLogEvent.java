package org.cuminwell.core.crash;

import java.time.Duration;

/** Records a change in what a gateway believes about crashes. Immutable and thread safe. */
public sealed interface CrashLogEvent {

  /**
   * Reports that this gateway lost attempts at an endpoint that seems to have crashed.
   *
   * @param suspects how many traits may have crashed it
   */
  record CrashSeen(EndpointIncarnation endpoint, int lostAttempts, int suspects)
      implements CrashLogEvent {}

  /** Reports that requests with the trait are refused from now on. */
  record Suspended(Trait trait, int strikes, int crashes, Duration hold) implements CrashLogEvent {}

  /** Reports that another host has suspended the trait, or has lifted its suspension. */
  record Told(Suspension suspension) implements CrashLogEvent {}

  /** Reports that a request with a suspended trait is sent to find out whether it still crashes. */
  record Tried(Trait trait, int strikes) implements CrashLogEvent {}

  /** Reports that requests with the trait are no longer refused. */
  record Lifted(Trait trait, int strikes) implements CrashLogEvent {}
}
