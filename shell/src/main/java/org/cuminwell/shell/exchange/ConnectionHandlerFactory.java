package org.cuminwell.shell.exchange;

import java.time.Instant;

/** Creates the handler of each connection of a listener. Implementations are thread safe. */
@FunctionalInterface
public interface ConnectionHandlerFactory {

  /**
   * Returns the handler of a new connection.
   *
   * @param establishedAfter a time before which the connection was not established, by the clock of
   *     the listener
   */
  ExchangeHandler create(Instant establishedAfter);
}
