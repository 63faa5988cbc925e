package org.cuminwell.shell;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminwell.core.model.HostAddress;

/**
 * Hands out loopback addresses that nobody listens at.
 *
 * <p>The ports lie below the range from which the system gives ports to connections, so that none
 * is taken between the time it is handed out and the time it is used, or used again. Thread safe.
 */
public final class FreePorts {

  private static final int FIRST = 10_000;
  private static final int COUNT = 20_000;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

  private FreePorts() {}

  /** Returns an address that was not handed out before and is free. */
  public static HostAddress next() {
    for (int tries = 0; tries < COUNT; tries++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      if (isFree(port)) {
        return new HostAddress("127.0.0.1", port);
      }
    }
    throw new IllegalStateException("no port is free");
  }

  private static boolean isFree(int port) {
    try (ServerSocket _ = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
