package org.cuminwell.shell.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.StandardSocketOptions;
import jdk.net.ExtendedSocketOptions;
import org.apache.pekko.io.Inet;

/**
 * Lets the kernel ask the other end of a quiet connection whether it still knows it.
 *
 * <p>A slow endpoint answers such a probe and one that lost track of the connection does not, so
 * this finds connections gone silent within seconds without harm to slow ones. Stateless and thread
 * safe.
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
      throw new UncheckedIOException("this system can't probe quiet connections", e);
    }
  }
}
