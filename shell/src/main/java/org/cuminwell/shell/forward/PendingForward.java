package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardRequest;
import org.cuminwell.shell.exchange.RequestMessage;
import org.jspecify.annotations.Nullable;

/**
 * Holds an open request with its latest attempt and the last events that its caller was sent; the
 * decisions in {@link org.cuminwell.core.forward.Forwarder} need none of these.
 *
 * <p>Confined to the event loop of the exchanges.
 */
final class PendingForward {

  private static final byte[] NOTHING = {};

  private final ForwardRequest head;
  private final RequestMessage request;
  private byte[] lastEventsWithId = NOTHING;
  private @Nullable ForwardAttempt latestAttempt;
  private boolean aborted;

  PendingForward(ForwardRequest head, RequestMessage request) {
    this.head = head;
    this.request = request;
  }

  ForwardRequest head() {
    return head;
  }

  RequestMessage request() {
    return request;
  }

  /** Returns the id of the last whole event that was passed to the caller, if one had an id. */
  Optional<String> lastEventId() {
    return EventIds.findLast(lastEventsWithId);
  }

  /** Records whole events that are passed to the caller; ignored if none of them has an id. */
  void recordPassedEvents(byte[] events) {
    if (EventIds.containsId(events)) {
      lastEventsWithId = events;
    }
  }

  /** Makes the attempt the latest one; returns false if the request has been aborted. */
  boolean tryBegin(ForwardAttempt attempt) {
    if (!aborted) {
      latestAttempt = attempt;
    }
    return !aborted;
  }

  /** Returns the attempt that was started last, if there is one. */
  Optional<ForwardAttempt> latestAttempt() {
    return Optional.ofNullable(latestAttempt);
  }

  /** Cancels the latest attempt and allows no further one. */
  void abort() {
    aborted = true;
    latestAttempt().ifPresent(ForwardAttempt::cancel);
  }
}
