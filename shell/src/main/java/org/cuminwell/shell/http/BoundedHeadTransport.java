package org.cuminwell.shell.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/** Connects over TCP for one response, whose head {@link ResponseHeadStage} limits. Thread safe. */
final class BoundedHeadTransport extends ClientTransport {

  private final ClientTransport tcp = ClientTransport.TCP();

  @Override
  public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
      String host, int port, ClientConnectionSettings settings, ActorSystem system) {
    ResponseGate gate = new ResponseGate();
    gate.expectResponse();
    return tcp.connectTo(host, port, settings, system).via(new ResponseHeadStage(gate));
  }
}
