package org.cuminwell.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** Answers the requests of gateways. Implementations are thread safe. */
interface Endpoint {

  /** Answers one request. */
  void handle(HttpExchange exchange) throws IOException;

  /** Returns how many requests run now. */
  int running();

  /** Returns how many requests wait now. */
  int queued();
}
