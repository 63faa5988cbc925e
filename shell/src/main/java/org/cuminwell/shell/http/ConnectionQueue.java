package org.cuminwell.shell.http;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Decides which of the connections that a listener has accepted are set up, and which are closed
 * because they would wait too long.
 *
 * <p>The newest connection is set up first, since its caller will wait longest. Under load in order
 * of arrival, each would be reached only when its caller has given up. Invariants: at most {@link
 * #MAX_SETTING_UP} connections are being set up and {@link #MAX_WAITING} wait; a connection waits
 * only while no further one can be set up. Not thread safe.
 */
public final class ConnectionQueue<C> {

  /** The maximum number of connections that are set up at the same time. */
  static final int MAX_SETTING_UP = 8;

  /** The maximum number of connections that wait. */
  static final int MAX_WAITING = 64;

  /** The longest wait; a caller has to be left time for a try at another host. */
  static final Duration MAX_WAIT = Duration.ofMillis(500);

  private final Deque<Waiting<C>> waiting = new ArrayDeque<>();
  private int settingUp;

  /** Holds a connection that waits. Immutable. */
  private record Waiting<C>(C connection, Instant since) {}

  /**
   * Holds a connection to set up. Immutable.
   *
   * @param waited how long it has waited
   */
  public record Next<C>(C connection, Duration waited) {}

  /**
   * Holds what is to be done. Immutable.
   *
   * @param next the connection to set up now
   * @param closed the connections to close now
   */
  public record Decision<C>(Optional<Next<C>> next, List<C> closed) {}

  /** Decides on a connection that was accepted now. */
  public Decision<C> add(C connection, Instant now) {
    if (settingUp < MAX_SETTING_UP) {
      settingUp++;
      return new Decision<>(Optional.of(new Next<>(connection, Duration.ZERO)), List.of());
    }
    waiting.addLast(new Waiting<>(connection, now));
    return new Decision<>(Optional.empty(), removeOverdue(now));
  }

  /** Decides which connection follows one that has been set up. */
  public Decision<C> recordSetUp(Instant now) {
    settingUp--;
    List<C> closed = removeOverdue(now);
    if (waiting.isEmpty()) {
      return new Decision<>(Optional.empty(), closed);
    }
    Waiting<C> newest = waiting.removeLast();
    settingUp++;
    Duration waited = Duration.between(newest.since(), now);
    return new Decision<>(Optional.of(new Next<>(newest.connection(), waited)), closed);
  }

  int settingUp() {
    return settingUp;
  }

  int waiting() {
    return waiting.size();
  }

  /** Removes the oldest connections that are too many or have waited too long. */
  private List<C> removeOverdue(Instant now) {
    List<C> removed = new ArrayList<>();
    Instant earliest = now.minus(MAX_WAIT);
    while (!waiting.isEmpty()
        && (waiting.size() > MAX_WAITING || waiting.getFirst().since().isBefore(earliest))) {
      removed.add(waiting.removeFirst().connection());
    }
    return removed;
  }
}
