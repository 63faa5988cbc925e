package org.cuminwell.soak;

import java.time.Duration;

/** Represents something that is done to the processes or the endpoints. Immutable, thread safe. */
sealed interface Fault {

  /**
   * Asks a gateway to stop with SIGTERM, ends it when its time is over, and starts it again.
   *
   * @param gateway the number of the gateway
   * @param restartAfter the time from its end to its next start
   */
  record StopGateway(int gateway, Duration restartAfter) implements Fault {}

  /** Sends SIGHUP to a gateway. */
  record HangUpGateway(int gateway) implements Fault {}

  /** Makes the endpoints fail for a while. */
  record TroubleEndpoints(Endpoint.Trouble trouble, Duration lasts) implements Fault {}
}
