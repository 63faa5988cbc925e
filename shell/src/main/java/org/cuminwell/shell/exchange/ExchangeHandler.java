package org.cuminwell.shell.exchange;

import java.util.Optional;
import java.util.function.Supplier;
import org.cuminwell.core.model.Failure;

/**
 * Handles the requests of one connection, one after another. Confined to the event loop of the
 * connection, which no method may block.
 */
public interface ExchangeHandler {

  /**
   * Returns the response to a request that is refused on its head, so that its body is not kept and
   * {@link #onRequest} is not called; empty if the request is to be handled.
   *
   * @param head reads the request without its body
   */
  default Optional<ResponseMessage> refusalOnHead(Supplier<RequestMessage> head) {
    return Optional.empty();
  }

  /** Handles a request that was received whole. */
  void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer);

  /** Returns the response to a request that could not be read. */
  ResponseMessage unreadable(Failure failure);

  /** Reports that the peer has disconnected. */
  void onDisconnected();
}
