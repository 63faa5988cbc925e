package org.cuminwell.shell.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Handles the requests of one server connection, one after another. */
public interface HttpConnectionHandler {

  /** Handles one request; the returned stage must never fail. */
  CompletionStage<HttpResponse> handle(HttpRequest request);

  /** Called when the peer has disconnected; at least once, from any thread. */
  void onDisconnected();
}
