package org.cuminwell.shell.exchange;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections and records for each a time before which it was not established.
 *
 * <p>That is the last time at which the operating system's queue of established connections was
 * found empty. The queue is looked at periodically, so for a process that runs the time is little
 * earlier than the establishment; for one that was suspended it is earlier by the suspension.
 * Confined to its event loop, apart from the constructor.
 */
final class TimedServerChannel extends NioServerSocketChannel {

  private static final AttributeKey<Instant> ESTABLISHED_AFTER =
      AttributeKey.valueOf("establishedAfter");

  private static final long POLL_PERIOD_MILLIS = 100;

  private final InstantSource time;
  private Instant queueEmptyAt;

  /** Creates a channel that is not bound. The time must include suspensions of the process. */
  TimedServerChannel(InstantSource time) {
    this.time = time;
    this.queueEmptyAt = time.instant();
  }

  /** Returns a time before which an accepted connection was not established. */
  static Instant establishedAfter(Channel connection) {
    Instant at = connection.attr(ESTABLISHED_AFTER).get();
    if (at == null) {
      throw new IllegalStateException("the connection was not accepted by a timed channel");
    }
    return at;
  }

  /** Starts to look at the queue periodically, until the channel is closed. */
  void startPolling() {
    var _ = eventLoop().schedule(this::poll, POLL_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    Instant before = time.instant();
    int count = super.doReadMessages(accepted);
    if (count == 0) {
      queueEmptyAt = before;
    } else if (count > 0) {
      ((Channel) accepted.getLast()).attr(ESTABLISHED_AFTER).set(queueEmptyAt);
    }
    return count;
  }

  private void poll() {
    if (isOpen()) {
      unsafe().read();
      startPolling();
    }
  }
}
