package org.cuminwell.shell.exchange;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an endpoint or to another gateway, over which requests are sent one after
 * another.
 *
 * <p>Invariants: a request is sent only after the one before has been written and its response
 * received whole; bytes that arrive while no response is awaited close the connection; a response
 * that is ended by the connection is whole only if the request was written whole before. Confined
 * to its event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

  /** How long the connection may be idle if the peer doesn't say when it closes it. */
  private static final Duration DEFAULT_IDLE_TIME = Duration.ofMillis(400);

  /** Which part of the idle timeout of the peer is used. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*([0-9]{1,5})");

  /** The methods whose requests say that they have no body by a length of 0. */
  private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

  private final HostAddress address;
  private final Channel channel;
  private final Consumer<ClientConnection> onClosed;
  private final ResponseGuard guard = new ResponseGuard(this::onUnacceptable);
  private final ResponseDecoder decoder = new ResponseDecoder();
  private @Nullable ResponseReceiver receiver;
  private @Nullable HttpResponse head;
  private boolean skipsInterim;
  private boolean uploading;
  private boolean closesAfterUpload;
  private boolean closed;
  private Instant idleUntil = Instant.MIN;

  /**
   * Creates the handler of a channel that is not connected yet.
   *
   * @param onClosed is called once when the connection has been closed
   */
  ClientConnection(HostAddress address, Channel channel, Consumer<ClientConnection> onClosed) {
    this.address = address;
    this.channel = channel;
    this.onClosed = onClosed;
  }

  HostAddress address() {
    return address;
  }

  ResponseGuard guard() {
    return guard;
  }

  ResponseDecoder decoder() {
    return decoder;
  }

  /** Sends a request over the connection, which must be established and idle. */
  void send(RequestMessage request, ResponseReceiver to) {
    if (closed) {
      to.onFailure(new CallFailure.Broken());
      return;
    }
    receiver = to;
    head = null;
    skipsInterim = false;
    guard.expectResponse();
    decoder.expectResponseTo(request.method());
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    NettyHeaders.write(request.headers(), message.headers());
    if (!request.headers().contains("Host")) {
      message.headers().add("Host", address.toString());
    }
    if (request.body().length > 0 || METHODS_WITH_BODY.contains(request.method())) {
      HttpUtil.setContentLength(message, request.body().length);
    }
    uploading = true;
    ChannelFuture written = channel.writeAndFlush(message);
    var _ = written.addListener(_ -> onWritten(written.isSuccess()));
  }

  /** Closes the connection at once; a response that is due is not reported any more. */
  void abort() {
    receiver = null;
    close();
  }

  /** Closes the connection. */
  void close() {
    var _ = channel.close();
  }

  /**
   * Closes the connection after a whole response, once the request has been written whole or the
   * time is up: the peer may respond first and read the rest of the body later.
   *
   * @param uploadTimeout the maximum time until the connection is closed
   */
  void closeAfterUpload(Duration uploadTimeout) {
    if (!uploading || !channel.isActive()) {
      close();
      return;
    }
    closesAfterUpload = true;
    // Only a read shows that the peer has closed the connection.
    setReading(true);
    Future<?> timer =
        channel.eventLoop().schedule(this::close, uploadTimeout.toMillis(), TimeUnit.MILLISECONDS);
    var _ = channel.closeFuture().addListener(_ -> timer.cancel(false));
  }

  /** Stops or resumes reading from the peer. */
  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /**
   * Makes the connection idle after a response that was received whole, and returns whether it can
   * be used again.
   */
  boolean tryMakeIdle(Instant now) {
    HttpResponse latest = head;
    if (closed || uploading || receiver != null || latest == null || !allowsReuse(latest)) {
      return false;
    }
    setReading(true);
    idleUntil = now.plus(idleTime(latest));
    return now.isBefore(idleUntil);
  }

  /** Returns whether the idle connection can be used at this time. */
  boolean isUsable(Instant now) {
    return !closed && now.isBefore(idleUntil);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpResponse response) {
        onHead(response);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    failAsBroken();
    close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    failAsBroken();
    onClosed.accept(this);
  }

  private void onWritten(boolean isSuccess) {
    if (isSuccess) {
      uploading = false;
      if (closesAfterUpload) {
        close();
      }
    } else {
      failAsBroken();
      close();
    }
  }

  private void onHead(HttpResponse response) {
    if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
      failAsBroken();
      return;
    }
    if (response.decoderResult().isFailure()) {
      onUnacceptable("the endpoint's response head is malformed");
      return;
    }
    if (receiver == null || head != null) {
      close();
      return;
    }
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      onUnacceptable("the endpoint switched to another protocol");
      return;
    }
    skipsInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (!skipsInterim) {
      head = response;
      guard.recordHeadReceived();
      receiver.onHead(startOf(response));
    }
  }

  private void onContent(HttpContent content) {
    ResponseReceiver to = receiver;
    if (to == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      onUnacceptable("the body of the endpoint's response is malformed");
      return;
    }
    if (skipsInterim) {
      return;
    }
    int length = content.content().readableBytes();
    if (length > 0) {
      byte[] part = new byte[length];
      content.content().readBytes(part);
      to.onPart(part);
    }
    // A failed write of the request closes the connection as well, without an exception here.
    if (content instanceof LastHttpContent && uploading && decoder.hasInputEnded()) {
      failAsBroken();
      return;
    }
    // The receiver may have aborted the call.
    if (content instanceof LastHttpContent && to.equals(receiver)) {
      receiver = null;
      guard.expectNothing();
      to.onEnd();
    }
  }

  private void onUnacceptable(String what) {
    fail(new CallFailure.Malformed(what));
    close();
  }

  /** Reports that the connection ended, if a response is due. */
  private void failAsBroken() {
    boolean isEarlyResponse = uploading && head != null;
    fail(isEarlyResponse ? new CallFailure.BrokenDuringUpload() : new CallFailure.Broken());
  }

  private void fail(CallFailure failure) {
    ResponseReceiver to = receiver;
    receiver = null;
    if (to != null) {
      to.onFailure(failure);
    }
  }

  private static ResponseStart startOf(HttpResponse response) {
    long length = HttpUtil.getContentLength(response, -1L);
    boolean isKnown = length >= 0 && !HttpUtil.isTransferEncodingChunked(response);
    return new ResponseStart(
        response.status().code(),
        NettyHeaders.read(response.headers()),
        isKnown ? OptionalLong.of(length) : OptionalLong.empty());
  }

  /** Returns whether the response, which was received whole, leaves the connection usable. */
  private boolean allowsReuse(HttpResponse response) {
    boolean isFramed =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    return response.protocolVersion().equals(HttpVersion.HTTP_1_1)
        && HttpUtil.isKeepAlive(response)
        && isFramed
        && !decoder.hasUndecodedBytes();
  }

  private static Duration idleTime(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher timeout = TIMEOUT.matcher(keepAlive);
    return timeout.find()
        ? Duration.ofNanos(
            (long) (Integer.parseInt(timeout.group(1)) * IDLE_TIMEOUT_FRACTION * NANOS_PER_SECOND))
        : DEFAULT_IDLE_TIME;
  }
}
