package org.cuminwell.core.gateway;

import java.time.Duration;
import java.util.List;
import org.cuminwell.core.forward.OpenRequest;

/** Tells one step of a gateway that stops. Immutable and thread safe. */
public sealed interface StopNote {

  /** Returns how long ago the stop was asked for. */
  Duration after();

  /**
   * A stop was asked for.
   *
   * @param open how many requests are open
   * @param within how long they may take
   */
  record Asked(int open, Duration within) implements StopNote {
    @Override
    public Duration after() {
      return Duration.ZERO;
    }
  }

  /** New requests are refused from now on. */
  record Refusing(int open, Duration after) implements StopNote {}

  /** The requests were cut, since they outlasted the time for them. */
  record Cut(List<OpenRequest> requests, Duration after) implements StopNote {
    /** Copies the list. */
    public Cut {
      requests = List.copyOf(requests);
    }
  }

  /** No request is open any more. */
  record Idle(Duration after) implements StopNote {}
}
