package org.cuminwell.shell.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.StandardSocketOptions;
import jdk.net.ExtendedSocketOptions;
import org.apache.pekko.io.Inet;

/**
 * Enables TCP keep-alive probes on idle connections.
 *
 * <p>The peer's kernel answers a probe even while the endpoint is slow, but not if the host is
 * unreachable or has lost the connection. So dead connections are detected within seconds, and slow
 * ones stay open. Stateless and thread safe.
 */
final class TcpKeepAlive extends Inet.AbstractSocketOption {

  private static final int IDLE_SECONDS = 2;
  private static final int INTERVAL_SECONDS = 1;
  private static final int PROBES = 3;

  @Override
  public void beforeConnect(Socket socket) {
    try {
      socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
      socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
      socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
      socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
    } catch (IOException e) {
      throw new UncheckedIOException("can't enable TCP keep-alive probes on this system", e);
    }
  }
}
