package org.cuminwell.shell.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Checks the bytes of a connection before they are decoded: that a response is awaited, begins like
 * one, and has heads of limited size, the interim ones included.
 *
 * <p>Invariant: nothing is passed on after bytes that were not acceptable. Confined to the event
 * loop of the connection.
 */
final class ResponseGuard extends ChannelInboundHandlerAdapter {

  /** The maximum size of all heads of a response, with what one read adds, in bytes. */
  static final int MAX_HEAD_BYTES = 64 * 1024;

  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final Consumer<String> onUnacceptable;
  private boolean awaiting;
  private boolean headReceived;
  private int bytesOfHeads;
  private boolean failed;

  /** Creates a guard; {@code onUnacceptable} is called once with what is wrong with the bytes. */
  ResponseGuard(Consumer<String> onUnacceptable) {
    this.onUnacceptable = onUnacceptable;
  }

  /** Accepts the bytes of one response from now on. */
  void expectResponse() {
    awaiting = true;
    headReceived = false;
    bytesOfHeads = 0;
  }

  /** Records that the final head of the response was received. */
  void recordHeadReceived() {
    headReceived = true;
  }

  /** Accepts no bytes from now on. */
  void expectNothing() {
    awaiting = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (failed) {
      ReferenceCountUtil.release(bytes);
    } else if (!awaiting) {
      fail(bytes, "the endpoint sent bytes after its response");
    } else if (!headReceived && !startsLikeResponse(bytes)) {
      fail(bytes, "the endpoint's response does not start with HTTP/1.");
    } else if (!headReceived && bytesOfHeads > MAX_HEAD_BYTES) {
      fail(bytes, "the endpoint's response head is too large");
    } else {
      bytesOfHeads += bytes.readableBytes();
      ctx.fireChannelRead(bytes);
    }
  }

  private void fail(ByteBuf bytes, String what) {
    failed = true;
    ReferenceCountUtil.release(bytes);
    onUnacceptable.accept(what);
  }

  /** Returns whether the first bytes of the response so far are those of a status line. */
  private boolean startsLikeResponse(ByteBuf bytes) {
    for (int i = 0; i < bytes.readableBytes() && bytesOfHeads + i < START.length; i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != START[bytesOfHeads + i]) {
        return false;
      }
    }
    return true;
  }
}
