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
 * Handles the frames that one connection sends and receives.
 *
 * <p>Sends a hello frame with the local host id once the connection is open, and a heartbeat
 * whenever nothing was sent for a while. The peer must send its hello before its first message; a
 * frame that breaks a rule closes the connection. Confined to the network thread of its connection.
 */
final class PeerFrameHandler extends ChannelDuplexHandler {

  private static final System.Logger LOG = System.getLogger(PeerFrameHandler.class.getName());

  private final PeerNode node;

  /** The peer's host id; null until its hello is accepted. */
  private @Nullable HostId peer;

  /** Creates the handler of one connection of the node. */
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
      node.removeConnection(peer, context.channel());
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
      closeAfterError(context);
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
    closeAfterError(context);
  }

  private void handle(ChannelHandlerContext context, PeerFrame frame) throws WireFormatException {
    switch (frame) {
      case PeerFrame.Hello hello -> {
        requireCertifiedName(context, hello.host());
        peer = hello.host();
        node.addConnection(hello.host(), context.channel());
      }
      case PeerFrame.Heartbeat h -> {}
      case PeerFrame.Message m -> node.onMessage(requireHelloReceived(), m.message());
    }
  }

  /** Closes the connection, and counts it as refused if the peer's hello was not accepted yet. */
  private void closeAfterError(ChannelHandlerContext context) {
    if (peer == null) {
      node.countRefused();
    }
    var _ = context.close();
  }

  /**
   * Checks that the peer's certificate names the host id that its hello claims; without TLS every
   * id is accepted.
   *
   * @throws WireFormatException if the certificate names another host or none
   */
  private static void requireCertifiedName(ChannelHandlerContext context, HostId claimedId)
      throws WireFormatException {
    SslHandler sslHandler = context.pipeline().get(SslHandler.class);
    if (sslHandler != null && !PeerTls.isCertifiedAs(sslHandler, claimedId)) {
      throw new WireFormatException(
          "the peer claims the host id "
              + claimedId
              + " but its certificate names "
              + PeerTls.certifiedName(sslHandler).orElse("no host"));
    }
  }

  /**
   * Returns the host id from the peer's hello.
   *
   * @throws WireFormatException if no hello was accepted yet
   */
  private HostId requireHelloReceived() throws WireFormatException {
    if (peer == null) {
      throw new WireFormatException("the peer sent a message before its hello");
    }
    return peer;
  }

  private static void send(ChannelHandlerContext context, PeerFrame frame) {
    var _ =
        context.channel().writeAndFlush(EncodedFrame.of(frame), context.channel().voidPromise());
  }
}
