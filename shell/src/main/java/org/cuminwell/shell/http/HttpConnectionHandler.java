package org.cuminwell.shell.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Handles the requests of one connection, one after another. */
public interface HttpConnectionHandler {

  /** Handles one request; the stage never fails. */
  CompletionStage<HttpResponse> handle(HttpRequest request);

  /** Learns that the other end has gone; called at least once, from any thread. */
  void onDisconnected();
}
