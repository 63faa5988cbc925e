package org.cuminwell.shell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.regex.Pattern;

/** Decodes the responses of a connection that awaits one at a time. Confined to its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;
  private static final int MAX_PART_BYTES = 64 * 1024;

  /** Netty accepts any number; no statuses but these are defined. */
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  private boolean awaitsNoBody;
  private boolean inputEnded;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
            .setMaxHeaderSize(ResponseGuard.MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_PART_BYTES));
  }

  /** Sets the method of the request whose response comes next. */
  void expectResponseTo(String method) {
    awaitsNoBody = method.equals("HEAD");
  }

  /** Returns whether bytes were received that are not decoded yet. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /**
   * Returns whether the connection has ended. The decoder then ends a response without a length, as
   * it can't tell whether the connection was closed in an orderly way.
   */
  boolean hasInputEnded() {
    return inputEnded;
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws Exception {
    inputEnded = true;
    super.decodeLast(ctx, in, out);
  }

  /**
   * Creates a response from its status line.
   *
   * @throws IllegalArgumentException if the status is invalid; the response is malformed then
   */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    String status = initialLine[1];
    if (!STATUS.matcher(status).matches()) {
      throw new IllegalArgumentException("the status must be three digits from 100 to 599");
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    return (awaitsNoBody && isFinal) || super.isContentAlwaysEmpty(message);
  }
}
