package org.cuminwell.shell.exchange;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.jspecify.annotations.Nullable;

/**
 * Reads the requests of one connection and passes them to its handler one after another.
 *
 * <p>While a request is being handled one more is read ahead, since only a read shows that the peer
 * has disconnected. A connection is set up once its first request is handled, it has ended, or
 * {@link #MAX_SET_UP_TIME} has passed. The first request of a late connection is dropped if its
 * caller has left meanwhile. Confined to its event loop, except for {@link #drain}.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

  /** How long a caller that sends nothing counts as being set up. */
  private static final Duration MAX_SET_UP_TIME = Duration.ofMillis(250);

  /** How long the first request of a late connection is held, so that a disconnect is noticed. */
  private static final Duration DISCONNECT_CHECK_TIME = Duration.ofMillis(50);

  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);

  /** How long a peer whose request is not read whole may go on sending after the response. */
  private static final Duration LINGER_TIME = Duration.ofSeconds(1);

  private static final byte[] NO_BODY = {};

  private final ServerListener listener;
  private final ExchangeHandler handler;
  private final boolean late;
  private final InstantSource time;
  private final Runnable onSetUp;
  private final Optional<ArrivalBound> arrival;
  private final Deque<Received> received = new ArrayDeque<>();
  private volatile @Nullable ChannelHandlerContext context;
  private @Nullable IncomingRequest incoming;
  private @Nullable ServerExchange exchange;
  private @Nullable Future<?> setUpTimer;
  private boolean firstRequestHandled;
  private boolean isHandlingNext;
  private boolean refusesInput;
  private boolean setUpEnded;

  /** Holds what a request waits for, and how its connection goes on after it. Immutable. */
  private sealed interface Received {

    boolean isHttp11();

    boolean allowsReuse();

    /** Holds a whole request, which is to be handled. */
    record Whole(RequestMessage request, RequestTimes times, boolean isHttp11, boolean allowsReuse)
        implements Received {}

    /** Holds the response to a request that was refused on its head. */
    record Refused(ResponseMessage response, boolean isHttp11, boolean allowsReuse)
        implements Received {}
  }

  /**
   * Creates the connection.
   *
   * @param late whether it has waited so long that its caller may have left
   * @param onSetUp runs once when the connection has been set up
   * @param arrival bounds when requests arrived, if that is known
   */
  ServerConnection(
      ServerListener listener,
      ExchangeHandler handler,
      boolean late,
      InstantSource time,
      Runnable onSetUp,
      Optional<ArrivalBound> arrival) {
    this.listener = listener;
    this.handler = handler;
    this.late = late;
    this.time = time;
    this.onSetUp = onSetUp;
    this.arrival = arrival;
  }

  /** Ends the connection after the response that is due, or now if none is. Thread safe. */
  void drain() {
    ChannelHandlerContext ctx = context;
    if (ctx != null && !ctx.executor().isShuttingDown()) {
      ctx.executor()
          .execute(
              () -> {
                received.clear();
                if (exchange == null) {
                  var _ = ctx.close();
                }
              });
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    listener.add(this);
    setUpTimer = schedule(ctx, MAX_SET_UP_TIME, this::endSetUp);
    if (listener.isDraining()) {
      var _ = ctx.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (refusesInput || listener.isDraining()) {
        return;
      }
      if (message instanceof HttpRequest head) {
        onHead(ctx, head);
      }
      if (message instanceof HttpContent content && !refusesInput) {
        onContent(ctx, content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null && ctx.channel().isWritable()) {
      exchange.runOnWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (incoming != null) {
      incoming.cancelTimeout();
    }
    handler.onDisconnected();
    endSetUp();
    listener.remove(this);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      var _ = ctx.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    var _ = ctx.close();
  }

  private void onHead(ChannelHandlerContext ctx, HttpRequest head) {
    if (head.decoderResult().isFailure()) {
      refuse(ctx, Failure.notRun(ErrorCode.BAD_REQUEST, "the head of the request is malformed"));
      return;
    }
    boolean waitsToSend = HttpUtil.is100ContinueExpected(head);
    Optional<ResponseMessage> refusal =
        handler.refusalOnHead(() -> IncomingRequest.messageOf(head, NO_BODY));
    IncomingRequest request =
        new IncomingRequest(
            head,
            timesOfHead(),
            refusal.isPresent(),
            schedule(ctx, BODY_TIMEOUT, () -> onBodyTimeout(ctx)));
    incoming = request;
    if (refusal.isPresent()) {
      // It is open whether a peer that waits to send its body sends it after a refusal.
      boolean allowsReuse = request.allowsReuse() && !waitsToSend;
      received.add(new Received.Refused(refusal.get(), request.isHttp11(), allowsReuse));
      handleNext(ctx);
    } else if (waitsToSend && exchange == null) {
      var _ =
          ctx.writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(ChannelHandlerContext ctx, HttpContent content) {
    IncomingRequest request = incoming;
    if (request == null) {
      return;
    }
    if (request.isRefused()) {
      onRefusedContent(ctx, request, content);
    } else if (content.decoderResult().isFailure()) {
      refuse(ctx, Failure.notRun(ErrorCode.BAD_REQUEST, "the body of the request is malformed"));
    } else if (!request.add(content.content())) {
      String message = "the body must be at most " + IncomingRequest.MAX_BODY_BYTES + " bytes";
      refuse(ctx, Failure.notRun(ErrorCode.BODY_TOO_LARGE, message));
    } else if (content instanceof LastHttpContent) {
      incoming = null;
      request.cancelTimeout();
      received.add(
          new Received.Whole(
              request.toMessage(), request.times(), request.isHttp11(), request.allowsReuse()));
      handleNext(ctx);
    }
  }

  /** Drops a part of the body of a request that was refused on its head. */
  private void onRefusedContent(
      ChannelHandlerContext ctx, IncomingRequest request, HttpContent content) {
    if (content.decoderResult().isFailure() || !request.add(content.content())) {
      endInput(ctx, request);
    } else if (content instanceof LastHttpContent) {
      incoming = null;
      request.cancelTimeout();
      handleNext(ctx);
    }
  }

  /** Ends a connection whose next request can't be found in its input. */
  private void endInput(ChannelHandlerContext ctx, IncomingRequest request) {
    request.cancelTimeout();
    incoming = null;
    refusesInput = true;
    received.clear();
    if (exchange != null) {
      exchange.disableReuse();
    } else {
      linger(ctx);
    }
  }

  private void onBodyTimeout(ChannelHandlerContext ctx) {
    IncomingRequest request = incoming;
    if (request != null && request.isRefused()) {
      endInput(ctx, request);
      return;
    }
    String message =
        "the body was not received within " + BODY_TIMEOUT.toSeconds() + " s; send it faster";
    refuse(ctx, Failure.notRun(ErrorCode.BAD_REQUEST, message));
  }

  /** Handles the next request unless one is being handled; then stops to read after it. */
  private void handleNext(ChannelHandlerContext ctx) {
    if (exchange != null) {
      boolean isInsideRefused = incoming != null && incoming.isRefused();
      setReading(ctx, received.isEmpty() || isInsideRefused);
      return;
    }
    if (isHandlingNext) {
      // A refusal ends its exchange at once; the loop below goes on, so that the stack stays flat.
      return;
    }
    isHandlingNext = true;
    try {
      while (exchange == null && !received.isEmpty()) {
        handleOne(ctx, received.remove());
      }
    } finally {
      isHandlingNext = false;
    }
  }

  private void handleOne(ChannelHandlerContext ctx, Received next) {
    boolean isFirst = !firstRequestHandled;
    firstRequestHandled = true;
    switch (next) {
      case Received.Whole whole -> {
        ServerExchange current = begin(ctx, next, () -> close(ctx));
        if (late && isFirst) {
          var _ =
              schedule(ctx, DISCONNECT_CHECK_TIME, () -> handleIfConnected(ctx, whole, current));
        } else {
          handle(whole, current);
        }
      }
      case Received.Refused refused -> {
        endSetUp();
        // The peer may still be sending its body.
        begin(ctx, next, () -> linger(ctx)).respond(refused.response());
      }
    }
  }

  /** Begins the exchange of a request and reads on. */
  private ServerExchange begin(ChannelHandlerContext ctx, Received next, Runnable onLastWritten) {
    ServerExchange current =
        new ServerExchange(
            ctx, next.isHttp11(), listener, () -> onExchangeEnded(ctx), onLastWritten);
    if (!next.allowsReuse()) {
      current.disableReuse();
    }
    exchange = current;
    setReading(ctx, true);
    return current;
  }

  private void setReading(ChannelHandlerContext ctx, boolean reads) {
    ctx.channel().config().setAutoRead(reads);
    arrival.ifPresent(bound -> bound.setReading(reads, time.instant()));
  }

  /** Returns the times of a request whose head has just been received. */
  private RequestTimes timesOfHead() {
    return new RequestTimes(
        time.instant(),
        arrival.map(
            bound -> new RequestTimes.AgeBounds(bound.establishedAfter(), bound.arrivedAfter())));
  }

  private void handleIfConnected(
      ChannelHandlerContext ctx, Received.Whole next, ServerExchange current) {
    if (ctx.channel().isActive()) {
      handle(next, current);
    } else {
      listener.recordRequestDropped();
    }
  }

  private void handle(Received.Whole next, ServerExchange current) {
    endSetUp();
    handler.onRequest(next.request(), next.times(), current);
  }

  private void onExchangeEnded(ChannelHandlerContext ctx) {
    exchange = null;
    if (!refusesInput) {
      handleNext(ctx);
    }
  }

  /**
   * Responds with the failure and closes the connection; while another response is due, only that
   * one is written before.
   */
  private void refuse(ChannelHandlerContext ctx, Failure failure) {
    refusesInput = true;
    if (incoming != null) {
      incoming.cancelTimeout();
      incoming = null;
    }
    received.clear();
    if (exchange != null) {
      exchange.disableReuse();
      return;
    }
    ServerExchange current = new ServerExchange(ctx, true, listener, () -> {}, () -> linger(ctx));
    exchange = current;
    current.disableReuse();
    current.respond(handler.unreadable(failure));
  }

  /**
   * Closes the connection once the peer has, or after a while. Closing it at once would reset it,
   * and could so destroy the response before it is read.
   */
  private static void linger(ChannelHandlerContext ctx) {
    var _ = ((SocketChannel) ctx.channel()).shutdownOutput();
    var _ = schedule(ctx, LINGER_TIME, () -> close(ctx));
  }

  private static void close(ChannelHandlerContext ctx) {
    var _ = ctx.close();
  }

  private void endSetUp() {
    if (setUpTimer != null) {
      setUpTimer.cancel(false);
    }
    if (!setUpEnded) {
      setUpEnded = true;
      onSetUp.run();
    }
  }

  private static Future<?> schedule(ChannelHandlerContext ctx, Duration delay, Runnable task) {
    return ctx.executor().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
