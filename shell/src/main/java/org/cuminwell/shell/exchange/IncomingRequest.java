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
  private final boolean isRefused;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private int receivedBytes;

  /**
   * Starts with the head.
   *
   * @param isRefused whether the body is dropped, since the request was refused on its head
   * @param timeout ends the wait for the body
   */
  IncomingRequest(HttpRequest head, RequestTimes times, boolean isRefused, Future<?> timeout) {
    this.head = head;
    this.times = times;
    this.isRefused = isRefused;
    this.timeout = timeout;
  }

  /** Returns whether the request was refused on its head, so that only its end matters. */
  boolean isRefused() {
    return isRefused;
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
    if (receivedBytes + part.readableBytes() > MAX_BODY_BYTES) {
      return false;
    }
    receivedBytes += part.readableBytes();
    if (isRefused) {
      return true;
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
    return messageOf(head, body.toByteArray());
  }

  /** Returns the request of a head and a body. */
  static RequestMessage messageOf(HttpRequest head, byte[] body) {
    return new RequestMessage(
        head.method().name(), head.uri(), NettyHeaders.read(head.headers()), body);
  }
}
