package org.cuminwell.shell.exchange;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.nio.channels.SocketChannel;
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

  /** Accepts one connection, in place of the library, which doesn't tell an empty queue apart. */
  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    Instant before = time.instant();
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      queueEmptyAt = before;
      return 0;
    }
    Channel connection = new NioSocketChannel(this, socket);
    connection.attr(ESTABLISHED_AFTER).set(queueEmptyAt);
    accepted.add(connection);
    return 1;
  }

  private void poll() {
    if (!isOpen()) {
      return;
    }
    // Off for a while after accepting has failed.
    if (config().isAutoRead()) {
      unsafe().read();
    }
    startPolling();
  }
}
