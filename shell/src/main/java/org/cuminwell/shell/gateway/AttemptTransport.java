package org.cuminwell.shell.gateway;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.util.ByteString;

/**
 * Connects by TCP so that the attempt can close its connection at any moment, since cancelling an
 * answer alone leaves the connection open. Immutable and thread safe.
 */
final class AttemptTransport extends ClientTransport {

  private final EndpointAttempt attempt;

  AttemptTransport(EndpointAttempt attempt) {
    this.attempt = attempt;
  }

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    return Flow.of(ByteString.class)
        .via(attempt.connection().flow())
        .viaMat(ClientTransport.TCP().connectTo(host, port, settings, system), Keep.right());
  }
}
