package org.cuminwell.shell.exchange;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import jdk.net.ExtendedSocketOptions;
import org.cuminwell.core.model.HostAddress;

/**
 * Opens connections to endpoints and other gateways and keeps those that are idle for later calls.
 *
 * <p>Connections have TCP keep-alive probes: the peer's kernel answers them even while the endpoint
 * is slow, but not if the host is unreachable or has lost the connection. Invariants: a connection
 * is used by one call at a time; at most {@code maxIdle} idle connections are kept, and {@link
 * #MAX_IDLE_PER_ADDRESS} to one address. The public methods are thread safe; all others are
 * confined to the event loop of the exchanges.
 */
public final class ClientConnections {

  /** Keeps no connection, so that each call has one of its own. */
  public static final int NONE_IDLE = 0;

  /** The timeout for establishing a connection. */
  public static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  static final int MAX_IDLE_PER_ADDRESS = 8;

  /**
   * How long a peer that has responded may take to read the rest of the request, as long as a
   * gateway waits for the body of a caller.
   */
  private static final Duration UPLOAD_TIMEOUT = Duration.ofSeconds(30);

  /**
   * The send buffer of a connection to an endpoint, in bytes. What is in it counts as written, so a
   * larger one hides that an endpoint has responded and closed the connection without reading the
   * whole request. Linux doubles it; at a delay of 1.4 ms this allows some 20 MB/s.
   */
  private static final int SEND_BUFFER_BYTES = 32 * 1024;

  private static final int PROBE_IDLE_SECONDS = 2;
  private static final int PROBE_INTERVAL_SECONDS = 1;
  private static final int PROBE_COUNT = 3;
  private static final AttributeKey<ClientConnection> CONNECTION =
      AttributeKey.valueOf("clientConnection");

  private final HttpEventLoops loops;
  private final InstantSource time;
  private final int maxIdle;
  private final Duration uploadTimeout;
  private final Map<HostAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();
  private final AtomicInteger idle = new AtomicInteger();
  private final AtomicLong opened = new AtomicLong();
  private final AtomicLong reused = new AtomicLong();

  /** Creates an empty pool that keeps at most {@code maxIdle} idle connections. */
  public ClientConnections(HttpEventLoops loops, InstantSource time, int maxIdle) {
    this(loops, time, maxIdle, UPLOAD_TIMEOUT);
  }

  /**
   * Creates an empty pool.
   *
   * @param uploadTimeout how long a peer that has responded may take to read the rest of the
   *     request
   */
  ClientConnections(HttpEventLoops loops, InstantSource time, int maxIdle, Duration uploadTimeout) {
    this.loops = loops;
    this.time = time;
    this.maxIdle = maxIdle;
    this.uploadTimeout = uploadTimeout;
  }

  /** Returns a call to an endpoint, which uses connections of this pool. */
  public ClientCall newCall() {
    return new ClientCall(this, OptionalInt.of(SEND_BUFFER_BYTES));
  }

  /**
   * Returns a call to another gateway, which uses connections of this pool. Their send buffer is
   * not limited: other gateways read a request whole before they respond, and may be far away.
   */
  public ClientCall newRelayCall() {
    return new ClientCall(this, OptionalInt.empty());
  }

  /** Closes the connections that have been idle for as long as they may be. */
  public void closeExpired() {
    if (idle.get() > 0) {
      loops.exchangeLoop().execute(this::closeExpiredNow);
    }
  }

  /** Returns how many connections have been opened. */
  public long opened() {
    return opened.get();
  }

  /** Returns how many calls have used a connection that was kept. */
  public long reused() {
    return reused.get();
  }

  /** Returns how many idle connections are kept. */
  public int idle() {
    return idle.get();
  }

  /** Returns the present time. */
  Instant now() {
    return time.instant();
  }

  /** Takes the connection to the address that became idle last; empty if there is none. */
  Optional<ClientConnection> takeIdle(HostAddress address) {
    Instant now = now();
    Deque<ClientConnection> queue = idleConnections.get(address);
    while (queue != null && !queue.isEmpty()) {
      ClientConnection connection = queue.removeLast();
      idle.decrementAndGet();
      if (connection.isUsable(now)) {
        reused.incrementAndGet();
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  /**
   * Opens a connection to the address; {@code onConnected} receives it once it is established, or
   * after it failed, with whether it is.
   *
   * @param sendBufferBytes the size of the send buffer; the system's choice if empty
   */
  void open(
      HostAddress address,
      OptionalInt sendBufferBytes,
      BiConsumer<ClientConnection, Boolean> onConnected) {
    opened.incrementAndGet();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loops.exchanges())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .handler(initializer(address));
    sendBufferBytes.ifPresent(bytes -> bootstrap.option(ChannelOption.SO_SNDBUF, bytes));
    ChannelFuture connecting = bootstrap.connect(socketAddress(address));
    var _ =
        connecting.addListener(
            _ -> {
              ClientConnection connection =
                  Optional.ofNullable(connecting.channel().attr(CONNECTION).get())
                      .orElseGet(() -> newConnection(address, connecting.channel()));
              onConnected.accept(connection, connecting.isSuccess());
            });
  }

  /**
   * Keeps a connection whose response was received whole, or closes it if it can't be kept. One
   * whose request is not written whole is not kept, and closed after that.
   */
  void release(ClientConnection connection) {
    if (!connection.tryMakeIdle(now()) || !tryKeep(connection)) {
      connection.closeAfterUpload(uploadTimeout);
    }
  }

  private boolean tryKeep(ClientConnection connection) {
    Deque<ClientConnection> queue =
        idleConnections.computeIfAbsent(connection.address(), _ -> new ArrayDeque<>());
    if (idle.get() >= maxIdle || queue.size() >= MAX_IDLE_PER_ADDRESS) {
      return false;
    }
    queue.addLast(connection);
    idle.incrementAndGet();
    return true;
  }

  private void closeExpiredNow() {
    Instant now = now();
    List<ClientConnection> expired = new ArrayList<>();
    idleConnections
        .values()
        .forEach(
            queue ->
                queue.removeIf(connection -> !connection.isUsable(now) && expired.add(connection)));
    idleConnections.values().removeIf(Deque::isEmpty);
    idle.addAndGet(-expired.size());
    expired.forEach(ClientConnection::close);
  }

  /** Forgets a connection that was closed. */
  private void forget(ClientConnection connection) {
    Deque<ClientConnection> queue = idleConnections.get(connection.address());
    if (queue != null && queue.remove(connection)) {
      idle.decrementAndGet();
    }
  }

  private ClientConnection newConnection(HostAddress address, Channel channel) {
    return new ClientConnection(address, channel, this::forget);
  }

  private ChannelInitializer<SocketChannel> initializer(HostAddress address) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        ClientConnection connection = newConnection(address, channel);
        channel.attr(CONNECTION).set(connection);
        channel
            .pipeline()
            .addLast(connection.guard())
            .addLast(connection.decoder())
            .addLast(new HttpRequestEncoder())
            .addLast(connection);
      }
    };
  }

  /** Returns the address, which for an IP address needs no look-up of a name. */
  private static InetSocketAddress socketAddress(HostAddress address) {
    try {
      return new InetSocketAddress(InetAddress.ofLiteral(address.host()), address.port());
    } catch (IllegalArgumentException e) {
      return InetSocketAddress.createUnresolved(address.host(), address.port());
    }
  }
}
