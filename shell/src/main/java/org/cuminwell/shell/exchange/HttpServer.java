package org.cuminwell.shell.exchange;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.duty.FailedProcess;
import org.cuminwell.shell.duty.MonotonicTime;

/**
 * Serves HTTP/1.1 at an address, with a handler of its own for each connection.
 *
 * <p>Invariant: a connection that can't be set up is closed and has no effect on others. Stateless
 * and thread safe.
 */
public final class HttpServer {

  private static final System.Logger LOG = System.getLogger(HttpServer.class.getName());

  /** The maximum number of connections that the operating system holds until they are accepted. */
  private static final int BACKLOG = 128;

  private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_PART_BYTES = 64 * 1024;
  private static final int IDLE_TIMEOUT_SECONDS = 300;

  private HttpServer() {}

  /**
   * Starts to serve at the address.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public static ServerListener bind(
      HttpEventLoops loops, HostAddress address, Supplier<ExchangeHandler> handlerFactory) {
    return bind(
        loops,
        address,
        new MonotonicTime(),
        NioServerSocketChannel::new,
        handlerFactory,
        _ -> Optional.empty());
  }

  /**
   * Starts to serve at the address, and tells the handlers how old each request may be.
   *
   * @param time the clock of the ages, which must include suspensions of the process
   * @throws IllegalStateException if the address can't be bound
   */
  public static ServerListener bindTimed(
      HttpEventLoops loops,
      HostAddress address,
      InstantSource time,
      Supplier<ExchangeHandler> handlerFactory) {
    TimedServerChannel channel = new TimedServerChannel(time);
    PollTimes polls = new PollTimes(loops.exchangeLoop(), time);
    polls.start();
    ServerListener listener =
        bind(
            loops,
            address,
            time,
            () -> channel,
            handlerFactory,
            connection ->
                Optional.of(
                    new ArrivalBound(
                        polls, TimedServerChannel.establishedAfter(connection), time.instant())));
    channel.eventLoop().execute(channel::startPolling);
    return listener;
  }

  private static ServerListener bind(
      HttpEventLoops loops,
      HostAddress address,
      InstantSource time,
      ChannelFactory<ServerChannel> channelFactory,
      Supplier<ExchangeHandler> handlerFactory,
      Function<Channel, Optional<ArrivalBound>> arrival) {
    ServerListener listener = new ServerListener();
    AcceptHandler acceptor = new AcceptHandler(listener, time);
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops.accepting(), loops.exchanges())
            .channelFactory(channelFactory)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .handler(acceptor)
            .childHandler(initializer(listener, acceptor, time, handlerFactory, arrival))
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("can't listen at HTTP address " + address, bound.cause());
    }
    Channel channel = bound.channel();
    listener.setChannel(channel);
    var _ = channel.closeFuture().addListener(_ -> onClosed(listener, loops));
    return listener;
  }

  /**
   * Ends the process if connections are no longer accepted though nobody asked for it, since
   * callers would still be sent to it.
   */
  private static void onClosed(ServerListener listener, HttpEventLoops loops) {
    if (!listener.isUnbindRequested() && !loops.accepting().isShuttingDown()) {
      FailedProcess.halt("an HTTP listener no longer accepts connections", null);
    }
  }

  private static ChannelInitializer<SocketChannel> initializer(
      ServerListener listener,
      AcceptHandler acceptor,
      InstantSource time,
      Supplier<ExchangeHandler> handlerFactory,
      Function<Channel, Optional<ArrivalBound>> arrival) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        try {
          setUp(channel);
        } catch (RuntimeException e) {
          LOG.log(System.Logger.Level.ERROR, "closed a connection that could not be set up", e);
          var _ = channel.close();
          acceptor.onSetUp();
        }
      }

      private void setUp(SocketChannel channel) {
        ServerConnection connection =
            new ServerConnection(
                listener,
                handlerFactory.get(),
                acceptor.isLate(channel),
                time,
                acceptor::onSetUp,
                arrival.apply(channel));
        channel
            .pipeline()
            .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            .addLast(
                new HttpServerCodec(
                    new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxChunkSize(MAX_PART_BYTES)))
            .addLast(connection);
      }
    };
  }
}
