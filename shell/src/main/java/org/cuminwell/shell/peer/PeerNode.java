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
 * Keeps connections to other processes and carries messages over them.
 *
 * <p>Messages to one peer arrive in order or not at all; a message may be lost with its connection
 * or when the peer does not keep up, so senders repeat what matters. A connection over which
 * nothing came for {@link #SILENCE_SECONDS} is closed and dialled anew. Thread safe.
 */
public final class PeerNode implements AutoCloseable {

  /** After this time without a frame a connection counts as broken, in seconds. */
  public static final int SILENCE_SECONDS = 3;

  private static final System.Logger LOG = System.getLogger(PeerNode.class.getName());
  private static final int HEARTBEAT_SECONDS = 1;
  private static final int CLOSE_TIMEOUT_SECONDS = 3;
  private static final int REDIAL_MILLIS = 500;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int LOW_WATER_BYTES = 4 * 1024 * 1024;
  private static final int HIGH_WATER_BYTES = 16 * 1024 * 1024;

  private final HostId self;
  private final PeerListener listener;
  private final Optional<PeerTls> tls;
  private final EventLoopGroup threads;
  private final Map<HostId, List<Channel>> links = new ConcurrentHashMap<>();
  private final Map<HostAddress, Boolean> dialled = new ConcurrentHashMap<>();
  private final AtomicLong refused = new AtomicLong();
  private final PeerTraffic sent = new PeerTraffic();
  private final PeerTraffic received = new PeerTraffic();
  private volatile boolean closed;

  /**
   * Makes a node that neither listens nor dials yet.
   *
   * @param tls proves the ends of each connection; without it peers are believed
   */
  public PeerNode(HostId self, PeerListener listener, Optional<PeerTls> tls) {
    this.self = self;
    this.listener = listener;
    this.tls = tls;
    this.threads = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  /**
   * Takes connections at the address.
   *
   * @throws IllegalStateException if the address can't be used
   */
  public void listen(HostAddress address) {
    var bound =
        new ServerBootstrap()
            .group(threads)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .childHandler(initializer(channel -> tls.map(t -> t.serverHandler(channel))))
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("can't listen at peer address " + address, bound.cause());
    }
  }

  /** Connects to the address, and again whenever the connection is lost. */
  public void dial(HostAddress address) {
    if (dialled.putIfAbsent(address, true) == null) {
      connect(address);
    }
  }

  /** Stops connecting to the address again. */
  public void stopDialling(HostAddress address) {
    dialled.remove(address);
  }

  /** Sends the message, and returns whether it was taken; a taken message may still be lost. */
  public boolean send(HostId peer, PeerMessage message) {
    List<Channel> open = links.get(peer);
    if (open == null || !open.getLast().isWritable()) {
      return false;
    }
    Channel link = open.getLast();
    var _ = link.writeAndFlush(EncodedFrame.of(message), link.voidPromise());
    return true;
  }

  /** Returns how many connections were closed because the other end could not prove itself. */
  public long refusedConnections() {
    return refused.get();
  }

  /** Shows what is sent and received, by kind of frame, among the metrics of the process. */
  public void show(Telemetry telemetry) {
    sent.show(telemetry, "sent");
    received.show(telemetry, "received");
    telemetry.gauge("peer_refused_connections", this::refusedConnections);
  }

  /** Closes every connection, and returns when the address is free again. */
  @Override
  public void close() {
    closed = true;
    var _ =
        threads
            .shutdownGracefully(0, 1, TimeUnit.SECONDS)
            .awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  HostId self() {
    return self;
  }

  void opened(HostId peer, Channel channel) {
    links.merge(peer, List.of(channel), PeerNode::joined);
    listener.connected(peer);
  }

  /** Forgets the connection; the peer is lost when it was the last one. */
  void closed(HostId peer, Channel channel) {
    links.computeIfPresent(peer, (id, open) -> without(open, channel));
    if (!links.containsKey(peer)) {
      listener.lost(peer);
    }
  }

  void countSent(PeerFrame frame, int bytes) {
    sent.count(frame, LENGTH_BYTES + bytes);
  }

  void countReceived(PeerFrame frame, int bytes) {
    received.count(frame, LENGTH_BYTES + bytes);
  }

  void refused() {
    refused.incrementAndGet();
  }

  void heard(HostId peer, PeerMessage message) {
    listener.heard(peer, message);
  }

  private static List<Channel> joined(List<Channel> open, List<Channel> more) {
    return Stream.concat(open.stream(), more.stream()).toList();
  }

  private static @Nullable List<Channel> without(List<Channel> open, Channel closed) {
    List<Channel> rest = open.stream().filter(channel -> !channel.equals(closed)).toList();
    return rest.isEmpty() ? null : rest;
  }

  private void connect(HostAddress address) {
    if (closed || !dialled.containsKey(address)) {
      return;
    }
    new Bootstrap()
        .group(threads)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .handler(initializer(channel -> tls.map(t -> t.clientHandler(channel))))
        .connect(address.host(), address.port())
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (connected.isSuccess()) {
                    connected.channel().closeFuture().addListener(ended -> connectLater(address));
                  } else {
                    LOG.log(
                        System.Logger.Level.DEBUG,
                        () -> "no connection to " + address + ": " + connected.cause());
                    connectLater(address);
                  }
                });
  }

  private void connectLater(HostAddress address) {
    if (!closed) {
      var _ = threads.schedule(() -> connect(address), REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private ChannelInitializer<SocketChannel> initializer(
      Function<SocketChannel, Optional<SslHandler>> security) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        security.apply(channel).ifPresent(handler -> channel.pipeline().addLast(handler));
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new IdleStateHandler(SILENCE_SECONDS, HEARTBEAT_SECONDS, 0))
            .addLast(new PeerFrameHandler(PeerNode.this));
      }
    };
  }

  private static WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
  }
}
