package org.cuminwell.core.model;

import java.util.Comparator;

/**
 * Identifies a socket address by host name or IP address, and port.
 *
 * <p>Invariant: the host is not empty and the port is from 1 to 65535. Immutable and thread safe.
 */
public record HostAddress(String host, int port) implements Comparable<HostAddress> {

  private static final int MAX_PORT = 65_535;
  private static final Comparator<HostAddress> ORDER =
      Comparator.comparing(HostAddress::host).thenComparingInt(HostAddress::port);

  /**
   * Checks the host and the port.
   *
   * @throws IllegalArgumentException if the host is empty or the port out of range
   */
  public HostAddress {
    if (host.isEmpty() || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "address must be HOST:PORT with a port from 1 to 65535; found '"
              + host
              + ":"
              + port
              + "'");
    }
  }

  /**
   * Parses {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static HostAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String port = text.substring(colon + 1);
    if (colon < 1
        || port.isEmpty()
        || port.length() > 5
        || !port.chars().allMatch(Character::isDigit)) {
      throw new IllegalArgumentException("address must be HOST:PORT; found '" + text + "'");
    }
    return new HostAddress(text.substring(0, colon), Integer.parseInt(port));
  }

  @Override
  public int compareTo(HostAddress other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
