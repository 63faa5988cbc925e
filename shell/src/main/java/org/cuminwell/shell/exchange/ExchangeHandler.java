package org.cuminwell.shell.exchange;

import org.cuminwell.core.model.Failure;

/**
 * Handles the requests of one connection, one after another. Confined to the event loop of the
 * connection, which no method may block.
 */
public interface ExchangeHandler {

  /** Handles a request that was received whole. */
  void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer);

  /** Returns the response to a request that could not be read. */
  ResponseMessage unreadable(Failure failure);

  /** Reports that the peer has disconnected. */
  void onDisconnected();
}
