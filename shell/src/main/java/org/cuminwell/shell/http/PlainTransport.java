package org.cuminwell.shell.http;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.util.ByteString;

/** Connects the library's HTTP layers to connections without TLS. Stateless and thread safe. */
final class PlainTransport {

  private PlainTransport() {}

  /**
   * Returns the library's stage for connections without TLS, as a stage for any inbound message.
   */
  @SuppressWarnings("unchecked") // Flows are covariant in what they emit.
  static BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed> stage() {
    return (BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>)
        (BidiFlow<?, ?, ?, ?, ?>) TLSPlacebo.getInstance();
  }
}
