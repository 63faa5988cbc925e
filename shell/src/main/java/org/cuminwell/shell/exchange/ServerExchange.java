package org.cuminwell.shell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the response to one request of a {@link ServerConnection}.
 *
 * <p>Invariant: exactly one of the two tasks runs once the response has ended, unless the
 * connection has been closed. Confined to the event loop of the connection.
 */
final class ServerExchange implements ResponseWriter {

  private enum State {
    WAITING,
    STARTED,
    ENDED
  }

  private final ChannelHandlerContext context;
  private final boolean isHttp11;
  private final ServerListener listener;
  private final Runnable onReusable;
  private final Runnable onLastWritten;
  private State state = State.WAITING;
  private boolean reuseDisabled;
  private Runnable onWritable = () -> {};

  /**
   * Creates an exchange whose request was received.
   *
   * @param isHttp11 whether the peer can read chunked responses
   * @param onReusable runs after a response after which the connection can be used again
   * @param onLastWritten runs after any other response once it has been written
   */
  ServerExchange(
      ChannelHandlerContext context,
      boolean isHttp11,
      ServerListener listener,
      Runnable onReusable,
      Runnable onLastWritten) {
    this.context = context;
    this.isHttp11 = isHttp11;
    this.listener = listener;
    this.onReusable = onReusable;
    this.onLastWritten = onLastWritten;
  }

  /** Ends the connection with this response. */
  void disableReuse() {
    reuseDisabled = true;
  }

  @Override
  public void respond(ResponseMessage response) {
    if (state != State.WAITING) {
      return;
    }
    ByteBuf body = Unpooled.wrappedBuffer(response.body());
    DefaultFullHttpResponse message =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, statusOf(response.status()), body);
    NettyHeaders.write(response.headers(), message.headers());
    HttpUtil.setContentLength(message, response.body().length);
    setConnection(message);
    state = State.ENDED;
    onEnded(context.writeAndFlush(message));
  }

  @Override
  public void start(ResponseStart head) {
    if (state != State.WAITING) {
      return;
    }
    HttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, statusOf(head.status()));
    NettyHeaders.write(head.headers(), message.headers());
    if (head.length().isPresent()) {
      HttpUtil.setContentLength(message, head.length().getAsLong());
    } else if (isHttp11) {
      HttpUtil.setTransferEncodingChunked(message, true);
    } else {
      reuseDisabled = true;
    }
    setConnection(message);
    state = State.STARTED;
    var _ = context.write(message);
  }

  @Override
  public void write(byte[] part) {
    if (state == State.STARTED) {
      var _ = context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    }
  }

  @Override
  public void end() {
    if (state == State.STARTED) {
      state = State.ENDED;
      onEnded(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  @Override
  public void abort() {
    if (state == State.ENDED) {
      return;
    }
    if (!isHttp11) {
      // Only a reset tells a body that ends with its connection from a whole one.
      context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    }
    state = State.ENDED;
    var _ = context.close();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void onWritable(Runnable task) {
    onWritable = task;
  }

  /** Runs the task that waits for the response to become writable. */
  void runOnWritable() {
    onWritable.run();
  }

  private void setConnection(HttpResponse message) {
    boolean closes =
        message.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    reuseDisabled |= closes || listener.isReuseDisabled();
    if (reuseDisabled && !closes) {
      message.headers().add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void onEnded(ChannelFuture written) {
    if (reuseDisabled) {
      var _ = written.addListener(_ -> onLastWritten.run());
    } else if (listener.isDraining()) {
      var _ = written.addListener(ChannelFutureListener.CLOSE);
    } else {
      onReusable.run();
    }
  }

  private static HttpResponseStatus statusOf(int status) {
    return HttpResponseStatus.valueOf(status);
  }
}
