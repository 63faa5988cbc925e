package org.cuminwell.shell.gateway;

import org.cuminwell.core.gateway.GatewayEvent;
import org.cuminwell.shell.duty.Ring;

/**
 * Puts events into the ring of the decide thread.
 *
 * <p>New work is refused while the ring is nearly full. What follows from work already taken always
 * finds room, because the number of requests is bounded and each has at most {@link
 * #EVENTS_PER_CALL} events on their way. Thread safe.
 */
final class EventSink {

  private static final int EVENTS_PER_CALL = 4;
  private static final int ROOM_FOR_NEWS = 8_192;
  private static final int RESERVE = PendingCalls.MAX_CALLS * EVENTS_PER_CALL;

  private final Ring<GatewayEvent> ring = new Ring<>(RESERVE + ROOM_FOR_NEWS);

  Ring<GatewayEvent> ring() {
    return ring;
  }

  /** Adds an event that may be refused, and returns whether it was taken. */
  boolean offer(GatewayEvent event) {
    return ring.offerWithReserve(RESERVE, event);
  }

  /** Adds an event that follows from a request already taken. */
  void force(GatewayEvent event) {
    if (!ring.offer(event)) {
      throw new IllegalStateException("the reserve of the event ring is too small");
    }
  }
}
