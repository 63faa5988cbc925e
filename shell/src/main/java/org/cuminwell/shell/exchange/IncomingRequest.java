package org.cuminwell.shell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;

/**
 * Gathers the body of a request that is being received. Confined to the event loop of its
 * connection.
 */
final class IncomingRequest {

  /** The maximum size of a body, in bytes. */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final HttpRequest head;
  private final RequestTimes times;
  private final Future<?> timeout;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  /** Starts with the head; {@code timeout} ends the wait for the body. */
  IncomingRequest(HttpRequest head, RequestTimes times, Future<?> timeout) {
    this.head = head;
    this.times = times;
    this.timeout = timeout;
  }

  RequestTimes times() {
    return times;
  }

  /** Returns whether the connection can be used again after the response. */
  boolean allowsReuse() {
    return isHttp11() && HttpUtil.isKeepAlive(head);
  }

  /** Returns whether the sender can read chunked responses. */
  boolean isHttp11() {
    return head.protocolVersion().equals(HttpVersion.HTTP_1_1);
  }

  /** Adds a part of the body; returns false, and adds nothing, if the body gets too large. */
  boolean add(ByteBuf part) {
    if (body.size() + part.readableBytes() > MAX_BODY_BYTES) {
      return false;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    body.writeBytes(bytes);
    return true;
  }

  /** Stops the wait for the body. */
  void cancelTimeout() {
    timeout.cancel(false);
  }

  /** Returns the whole request. */
  RequestMessage toMessage() {
    return new RequestMessage(
        head.method().name(), head.uri(), NettyHeaders.read(head.headers()), body.toByteArray());
  }
}
