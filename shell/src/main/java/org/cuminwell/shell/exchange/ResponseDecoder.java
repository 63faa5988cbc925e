package org.cuminwell.shell.exchange;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the responses of a connection that awaits one at a time. Confined to its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;
  private static final int MAX_PART_BYTES = 64 * 1024;

  private boolean awaitsNoBody;

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

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal =
        ((HttpResponse) message).status().codeClass() != HttpStatusClass.INFORMATIONAL;
    return (awaitsNoBody && isFinal) || super.isContentAlwaysEmpty(message);
  }
}
