package org.cuminwell.shell.gateway;

import java.time.Duration;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.HttpListener;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Serves the project's own interface for callers, and sends its requests to endpoints.
 *
 * <p>A gateway that only forwards requests has none, which saves it the start of the HTTP library.
 * Thread safe.
 */
final class ApiFront {

  private final HttpSystem http = HttpSystem.start("gateway");
  private final CallerFront callers;
  private final EndpointClient endpoints;

  ApiFront(PendingCalls calls, EventSink events) {
    callers = new CallerFront(http, calls, events);
    endpoints = new EndpointClient(http, events::force);
  }

  CallerFront callers() {
    return callers;
  }

  EndpointClient endpoints() {
    return endpoints;
  }

  /** Accepts callers at the address. */
  HttpListener listen(HostAddress address) {
    return http.serveConnections(address, callers::connection);
  }

  /** Closes all connections and waits until the addresses are free again or the time is up. */
  void close(Duration atMost) {
    http.close(atMost);
  }
}
