package org.cuminwell.shell.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.cuminwell.core.model.HostId;
import org.cuminwell.wire.PeerFrame;
import org.cuminwell.wire.PeerFrameCodec;
import org.cuminwell.wire.WireFormatException;
import org.jspecify.annotations.Nullable;

/**
 * Handles the frames of one connection.
 *
 * <p>The first frame must be a hello; anything else closes the connection. Confined to the network
 * thread of its connection.
 */
final class PeerFrameHandler extends ChannelDuplexHandler {

  private static final System.Logger LOG = System.getLogger(PeerFrameHandler.class.getName());

  private final PeerNode node;
  private @Nullable HostId peer;

  PeerFrameHandler(PeerNode node) {
    this.node = node;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    send(context, new PeerFrame.Hello(node.self()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (peer != null) {
      node.closed(peer, context.channel());
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf buffer = (ByteBuf) message;
    int bytes = buffer.readableBytes();
    try {
      PeerFrame frame = PeerFrameCodec.decode(ByteBufUtil.getBytes(buffer));
      node.countReceived(frame, bytes);
      handle(context, frame);
    } catch (WireFormatException e) {
      LOG.log(
          System.Logger.Level.WARNING,
          () -> "closing the connection to " + context.channel().remoteAddress() + ": " + e);
      close(context);
    } finally {
      buffer.release();
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    EncodedFrame frame = (EncodedFrame) message;
    node.countSent(frame.frame(), frame.bytes().length);
    var _ = context.write(Unpooled.wrappedBuffer(frame.bytes()), promise);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        var _ = context.close();
      } else {
        send(context, new PeerFrame.Heartbeat());
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.log(System.Logger.Level.DEBUG, "connection failed", cause);
    close(context);
  }

  private void handle(ChannelHandlerContext context, PeerFrame frame) throws WireFormatException {
    switch (frame) {
      case PeerFrame.Hello hello -> {
        requireProven(context, hello.host());
        peer = hello.host();
        node.opened(hello.host(), context.channel());
      }
      case PeerFrame.Heartbeat h -> {}
      case PeerFrame.Message m -> node.heard(requirePeer(), m.message());
    }
  }

  private void close(ChannelHandlerContext context) {
    if (peer == null) {
      node.refused();
    }
    var _ = context.close();
  }

  private static void requireProven(ChannelHandlerContext context, HostId claimed)
      throws WireFormatException {
    SslHandler security = context.pipeline().get(SslHandler.class);
    if (security != null && !PeerTls.proves(security, claimed)) {
      throw new WireFormatException(
          "the peer calls itself "
              + claimed
              + " but its certificate says "
              + PeerTls.provenName(security).orElse("nothing"));
    }
  }

  private HostId requirePeer() throws WireFormatException {
    if (peer == null) {
      throw new WireFormatException("message before hello");
    }
    return peer;
  }

  private static void send(ChannelHandlerContext context, PeerFrame frame) {
    var _ =
        context.channel().writeAndFlush(EncodedFrame.of(frame), context.channel().voidPromise());
  }
}
