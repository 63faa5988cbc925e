package org.cuminwell.shell.exchange;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.cuminwell.shell.http.ConnectionQueue;
import org.jspecify.annotations.Nullable;

/**
 * Holds accepted connections back until they are to be set up, as {@link ConnectionQueue} decides.
 *
 * <p>A connection that is closed here has not been read from, which tells its caller that nothing
 * has run. Confined to the accepting event loop, except for {@link #onSetUp} and {@link #isLate},
 * which are thread safe.
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {

  /** How long a connection must have waited for its caller to have left, possibly. */
  private static final Duration LATE_AFTER = Duration.ofMillis(100);

  private static final AttributeKey<Instant> ACCEPTED_AT = AttributeKey.valueOf("acceptedAt");

  private final ServerListener listener;
  private final InstantSource time;
  private final ConnectionQueue<Channel> queue = new ConnectionQueue<>();
  private volatile @Nullable ChannelHandlerContext context;

  AcceptHandler(ServerListener listener, InstantSource time) {
    this.listener = listener;
    this.time = time;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    Channel connection = (Channel) accepted;
    Instant now = time.instant();
    connection.attr(ACCEPTED_AT).set(now);
    listener.recordAccepted();
    perform(queue.add(connection, now), ctx);
  }

  /** Records that a connection has been set up, so that the next one may be. */
  void onSetUp() {
    ChannelHandlerContext ctx = context;
    if (ctx != null && !ctx.executor().isShuttingDown()) {
      ctx.executor().execute(() -> perform(queue.recordSetUp(time.instant()), ctx));
    }
  }

  /** Returns whether the connection has waited so long that its caller may have left. */
  boolean isLate(Channel connection) {
    Instant acceptedAt = connection.attr(ACCEPTED_AT).get();
    return acceptedAt != null
        && Duration.between(acceptedAt, time.instant()).compareTo(LATE_AFTER) >= 0;
  }

  private void perform(ConnectionQueue.Decision<Channel> decision, ChannelHandlerContext ctx) {
    listener.recordShed(decision.closed().size());
    decision.closed().forEach(connection -> connection.unsafe().closeForcibly());
    decision.next().ifPresent(next -> ctx.fireChannelRead(next.connection()));
  }
}
