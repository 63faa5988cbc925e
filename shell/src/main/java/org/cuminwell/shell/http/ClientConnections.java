package org.cuminwell.shell.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Host;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * Opens connections to endpoints and other gateways and keeps those that are idle for later calls.
 *
 * <p>Invariants: a connection is used by one call at a time; at most {@code maxIdle} idle
 * connections are kept, and {@link #MAX_IDLE_PER_ADDRESS} to one address. Thread safe.
 */
public final class ClientConnections {

  /** Keeps no connection, so that each call has one of its own. */
  public static final int NONE_IDLE = 0;

  /** The timeout for establishing a connection. */
  public static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  static final int MAX_IDLE_PER_ADDRESS = 8;

  /** Stands for the name of the peer in requests without a {@code Host} header. */
  private static final Host NO_HOST = Host.create("unnamed.invalid");

  private static final List<org.apache.pekko.io.Inet.SocketOption> SOCKET_OPTIONS =
      List.of(new TcpKeepAlive());

  private final HttpSystem http;
  private final InstantSource time;
  private final BidiFlow<HttpRequest, ByteString, ByteString, HttpResponse, NotUsed> codec;
  private final Map<HostAddress, Deque<KeptConnection>> idle = new HashMap<>();
  private final int maxIdle;
  private int idleCount;
  private long opened;
  private long reused;

  /** Creates an empty pool that keeps at most {@code maxIdle} idle connections. */
  public ClientConnections(HttpSystem http, InstantSource time, int maxIdle) {
    this.maxIdle = maxIdle;
    this.http = http;
    this.time = time;
    this.codec =
        http.http()
            .clientLayer(
                NO_HOST,
                ClientConnectionSettings.create(http.actorSystem()),
                http.actorSystem().log())
            .atop(PlainTransport.stage());
  }

  /** Returns a call, which uses connections of this pool. */
  public KeptCall newCall() {
    return new KeptCall(this);
  }

  /** Closes the connections that have been idle for as long as they may be. */
  public void closeExpired() {
    Instant now = time.instant();
    List<KeptConnection> expired = new ArrayList<>();
    synchronized (this) {
      idle.values()
          .forEach(
              queue ->
                  queue.removeIf(
                      connection -> !connection.isUsable(now) && expired.add(connection)));
      idle.values().removeIf(Deque::isEmpty);
      idleCount -= expired.size();
    }
    expired.forEach(KeptConnection::close);
  }

  /** Returns how many connections have been opened. */
  public synchronized long opened() {
    return opened;
  }

  /** Returns how many calls have used a connection that was kept. */
  public synchronized long reused() {
    return reused;
  }

  /** Returns how many idle connections are kept. */
  public synchronized int idle() {
    return idleCount;
  }

  /** Takes the connection to the address that became idle last; empty if there is none. */
  synchronized Optional<KeptConnection> takeIdle(HostAddress address) {
    Instant now = time.instant();
    Deque<KeptConnection> queue = idle.get(address);
    while (queue != null && !queue.isEmpty()) {
      KeptConnection connection = queue.removeLast();
      idleCount--;
      if (connection.isUsable(now)) {
        reused++;
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  /** Opens a connection to the address. */
  KeptConnection open(HostAddress address) {
    synchronized (this) {
      opened++;
    }
    ResponseGate gate = new ResponseGate();
    return new KeptConnection(
        address, connect(address, gate), gate, http.actorSystem(), this::forget);
  }

  /** Keeps a connection whose response was received whole, or closes it if it can't be kept. */
  void release(KeptConnection connection) {
    if (!connection.tryMakeIdle(time.instant()) || !tryKeep(connection)) {
      connection.abort(new CallEndedException("the connection is not kept"));
    }
  }

  private synchronized boolean tryKeep(KeptConnection connection) {
    Deque<KeptConnection> queue =
        idle.computeIfAbsent(connection.address(), _ -> new ArrayDeque<>());
    if (idleCount >= maxIdle || queue.size() >= MAX_IDLE_PER_ADDRESS) {
      return false;
    }
    queue.addLast(connection);
    idleCount++;
    return true;
  }

  /** Forgets a connection that was closed. */
  private synchronized void forget(KeptConnection connection) {
    @Nullable Deque<KeptConnection> queue = idle.get(connection.address());
    if (queue != null && queue.remove(connection)) {
      idleCount--;
    }
  }

  /** Returns the address, which for an IP address needs no look-up of a name. */
  private static InetSocketAddress socketAddress(HostAddress address) {
    try {
      return new InetSocketAddress(InetAddress.ofLiteral(address.host()), address.port());
    } catch (IllegalArgumentException e) {
      return InetSocketAddress.createUnresolved(address.host(), address.port());
    }
  }

  private Flow<HttpRequest, HttpResponse, NotUsed> connect(HostAddress address, ResponseGate gate) {
    Flow<ByteString, ByteString, ?> tcp =
        Tcp.get(http.actorSystem())
            .outgoingConnection(
                socketAddress(address),
                Optional.empty(),
                SOCKET_OPTIONS,
                true,
                Optional.of(CONNECT_TIMEOUT),
                Optional.empty());
    return codec.join(tcp.via(new ResponseHeadStage(gate)));
  }
}
