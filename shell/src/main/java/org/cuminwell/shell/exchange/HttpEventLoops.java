package org.cuminwell.shell.exchange;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Runs the threads of HTTP exchanges: one accepts connections, the other reads and writes them.
 *
 * <p>All connections of callers, endpoints and relays share one event loop, so what belongs to an
 * exchange is confined to it and needs no lock. Accepting has a thread of its own, so that it goes
 * on however much is being handled. Thread safe.
 */
public final class HttpEventLoops implements AutoCloseable {

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

  private final EventLoopGroup accepting = loop("http-accept");
  private final EventLoopGroup exchanges = loop("http");

  private static EventLoopGroup loop(String name) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  /** Returns the event loop that all exchanges are confined to. */
  public EventLoop exchangeLoop() {
    return exchanges.next();
  }

  /** Returns the group that accepts connections. */
  EventLoopGroup accepting() {
    return accepting;
  }

  /** Returns the group of the one event loop of {@link #exchangeLoop}. */
  EventLoopGroup exchanges() {
    return exchanges;
  }

  /** Closes all connections and listeners, and waits at most 3 s for that. */
  @Override
  public void close() {
    close(CLOSE_TIMEOUT);
  }

  /** Closes all connections and listeners, and waits until that is done or the time is up. */
  public void close(Duration atMost) {
    var accepted = accepting.shutdownGracefully(0, atMost.toMillis(), TimeUnit.MILLISECONDS);
    var exchanged = exchanges.shutdownGracefully(0, atMost.toMillis(), TimeUnit.MILLISECONDS);
    accepted.awaitUninterruptibly(atMost.toMillis());
    exchanged.awaitUninterruptibly(atMost.toMillis());
  }
}
