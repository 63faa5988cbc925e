package org.cuminwell.shell.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.wire.PeerFrame;
import org.jspecify.annotations.Nullable;

/**
 * Maintains connections to other processes and exchanges messages over them.
 *
 * <p>Messages on one connection arrive in order. A message is lost if its connection breaks or if
 * the peer reads too slowly, so senders repeat messages that must arrive. A connection that
 * receives no frame for {@link #IDLE_TIMEOUT_SECONDS} is closed; the side that dialled it
 * reconnects. Thread safe.
 */
public final class PeerNode implements AutoCloseable {

  /** Time without a received frame after which a connection is closed. */
  public static final int IDLE_TIMEOUT_SECONDS = 3;

  private static final System.Logger LOG = System.getLogger(PeerNode.class.getName());
  private static final int HEARTBEAT_INTERVAL_SECONDS = 1;
  private static final int CLOSE_TIMEOUT_SECONDS = 3;
  private static final int RECONNECT_DELAY_MILLIS = 500;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int LOW_WATER_MARK_BYTES = 4 * 1024 * 1024;
  private static final int HIGH_WATER_MARK_BYTES = 16 * 1024 * 1024;

  private final HostId self;
  private final PeerListener listener;
  private final Optional<PeerTls> tls;
  private final EventLoopGroup eventLoop;

  /** The open connections to each peer, the newest last; a peer without any has no entry. */
  private final Map<HostId, List<Channel>> connections = new ConcurrentHashMap<>();

  private final Map<HostAddress, Boolean> dialledAddresses = new ConcurrentHashMap<>();
  private final AtomicLong refusedConnections = new AtomicLong();
  private final PeerTraffic sent = new PeerTraffic();
  private final PeerTraffic received = new PeerTraffic();
  private volatile boolean closed;

  /**
   * Creates a node that neither listens nor dials yet.
   *
   * @param self the host id that the node sends to its peers
   * @param tls authenticates both ends of each connection; if empty, connections are plain TCP and
   *     the host ids that peers claim are accepted unchecked
   */
  public PeerNode(HostId self, PeerListener listener, Optional<PeerTls> tls) {
    this.self = self;
    this.listener = listener;
    this.tls = tls;
    this.eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  /**
   * Accepts connections at the address; returns once the port is bound.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public void listen(HostAddress address) {
    var bound =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
            .childHandler(channelInitializer(channel -> tls.map(t -> t.serverHandler(channel))))
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("can't listen at peer address " + address, bound.cause());
    }
  }

  /** Connects to the address, and reconnects whenever the connection fails or is closed. */
  public void dial(HostAddress address) {
    if (dialledAddresses.putIfAbsent(address, true) == null) {
      connect(address);
    }
  }

  /** Stops reconnecting to the address; an open connection stays open. */
  public void stopReconnecting(HostAddress address) {
    dialledAddresses.remove(address);
  }

  /**
   * Sends the message over the newest connection to the peer.
   *
   * @return whether the message was accepted for sending, after which it may still be lost; false
   *     if the peer isn't connected or its write buffer is full
   */
  public boolean send(HostId peer, PeerMessage message) {
    List<Channel> peerConnections = connections.get(peer);
    if (peerConnections == null || !peerConnections.getLast().isWritable()) {
      return false;
    }
    Channel newest = peerConnections.getLast();
    var _ = newest.writeAndFlush(EncodedFrame.of(message), newest.voidPromise());
    return true;
  }

  /** Returns how many connections failed before the peer's hello was accepted, since the start. */
  public long refusedConnections() {
    return refusedConnections.get();
  }

  /** Registers gauges for the traffic in both directions and for refused connections. */
  public void registerGauges(Telemetry telemetry) {
    sent.registerGauges(telemetry, "sent");
    received.registerGauges(telemetry, "received");
    telemetry.gauge("peer_refused_connections", this::refusedConnections);
  }

  /**
   * Closes all connections and the listening port, and waits until they are closed, so that the
   * address can be used again; gives up waiting after a few seconds.
   */
  @Override
  public void close() {
    closed = true;
    var _ =
        eventLoop
            .shutdownGracefully(0, 1, TimeUnit.SECONDS)
            .awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the host id of this process. */
  HostId self() {
    return self;
  }

  /** Adds a connection whose hello was accepted, and reports it to the listener. */
  void addConnection(HostId peer, Channel channel) {
    connections.merge(peer, List.of(channel), PeerNode::concat);
    listener.onConnected(peer);
  }

  /** Removes the connection, and reports the peer as disconnected if it has no other. */
  void removeConnection(HostId peer, Channel channel) {
    connections.computeIfPresent(peer, (id, open) -> without(open, channel));
    if (!connections.containsKey(peer)) {
      listener.onDisconnected(peer);
    }
  }

  /** Counts a sent frame of {@code bytes} bytes, not counting its length field. */
  void countSent(PeerFrame frame, int bytes) {
    sent.count(frame, LENGTH_FIELD_BYTES + bytes);
  }

  /** Counts a received frame of {@code bytes} bytes, not counting its length field. */
  void countReceived(PeerFrame frame, int bytes) {
    received.count(frame, LENGTH_FIELD_BYTES + bytes);
  }

  /** Counts a connection that failed before the peer's hello was accepted. */
  void countRefused() {
    refusedConnections.incrementAndGet();
  }

  /** Passes a message from the peer to the listener. */
  void onMessage(HostId peer, PeerMessage message) {
    listener.onMessage(peer, message);
  }

  private static List<Channel> concat(List<Channel> open, List<Channel> added) {
    return Stream.concat(open.stream(), added.stream()).toList();
  }

  /** Returns the other open channels; null, which removes the map entry, if there is none. */
  private static @Nullable List<Channel> without(List<Channel> open, Channel closed) {
    List<Channel> remaining = open.stream().filter(channel -> !channel.equals(closed)).toList();
    return remaining.isEmpty() ? null : remaining;
  }

  /** Connects to the address unless the node is closed or reconnecting was stopped. */
  private void connect(HostAddress address) {
    if (closed || !dialledAddresses.containsKey(address)) {
      return;
    }
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
        .handler(channelInitializer(channel -> tls.map(t -> t.clientHandler(channel))))
        .connect(address.host(), address.port())
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (connected.isSuccess()) {
                    connected
                        .channel()
                        .closeFuture()
                        .addListener(ended -> scheduleReconnect(address));
                  } else {
                    LOG.log(
                        System.Logger.Level.DEBUG,
                        () ->
                            "can't connect to peer address "
                                + address
                                + ", will retry: "
                                + connected.cause());
                    scheduleReconnect(address);
                  }
                });
  }

  /** Connects to the address again after {@value #RECONNECT_DELAY_MILLIS} ms. */
  private void scheduleReconnect(HostAddress address) {
    if (!closed) {
      var _ =
          eventLoop.schedule(() -> connect(address), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns what sets up a new channel: TLS if any, framing, idle detection, frame handling. */
  private ChannelInitializer<SocketChannel> channelInitializer(
      Function<SocketChannel, Optional<SslHandler>> sslHandlerFactory) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        sslHandlerFactory.apply(channel).ifPresent(handler -> channel.pipeline().addLast(handler));
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
            .addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, HEARTBEAT_INTERVAL_SECONDS, 0))
            .addLast(new PeerFrameHandler(PeerNode.this));
      }
    };
  }

  private static WriteBufferWaterMark writeBufferWaterMark() {
    return new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES);
  }
}
