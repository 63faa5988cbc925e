package org.cuminwell.shell.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.FreePorts;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests which peers a node with TLS accepts, by the certificate that they present. */
class PeerTlsTest {

  private static final Duration POLL = Duration.ofMillis(10);
  private static final HostId SERVER = new HostId("c1");
  private static final HostId CLIENT = new HostId("g1");

  @TempDir private Path folder;

  enum Client {
    VALID(true),
    CERTIFICATE_OF_UNKNOWN_AUTHORITY(false),
    CERTIFICATE_OF_ANOTHER_HOST(false),
    WITHOUT_TLS(false);

    private final boolean accepted;

    Client(boolean accepted) {
      this.accepted = accepted;
    }
  }

  @ParameterizedTest
  @EnumSource
  void onlyPeersWhoseCertificateCarriesTheirNameAreAccepted(Client kind) throws Exception {
    X509Bundle authority = authority();
    RecordingListener recordingListener = new RecordingListener();
    HostAddress address = FreePorts.next();
    try (PeerNode server =
            node(SERVER, recordingListener, files("server", SERVER, authority, authority));
        PeerNode client = client(kind, authority, authority())) {
      server.listen(address);
      client.dial(address);
      await(() -> recordingListener.connected.contains(CLIENT) || server.refusedConnections() > 0);

      assertThat(recordingListener.connected.contains(CLIENT)).isEqualTo(kind.accepted);
    }
  }

  private PeerNode client(Client kind, X509Bundle authority, X509Bundle unknownAuthority)
      throws Exception {
    return switch (kind) {
      case VALID ->
          node(CLIENT, new RecordingListener(), files("client", CLIENT, authority, authority));
      case CERTIFICATE_OF_UNKNOWN_AUTHORITY ->
          node(
              CLIENT,
              new RecordingListener(),
              files("client", CLIENT, unknownAuthority, authority));
      case CERTIFICATE_OF_ANOTHER_HOST ->
          node(
              CLIENT,
              new RecordingListener(),
              files("client", new HostId("g2"), authority, authority));
      case WITHOUT_TLS -> new PeerNode(CLIENT, new RecordingListener(), Optional.empty());
    };
  }

  private static PeerNode node(HostId self, PeerListener listener, TlsFiles files)
      throws IOException {
    return new PeerNode(self, listener, Optional.of(PeerTls.load(files)));
  }

  private TlsFiles files(String name, HostId host, X509Bundle issuer, X509Bundle trusted)
      throws Exception {
    X509Bundle certificate = new CertificateBuilder().subject("CN=" + host).buildIssuedBy(issuer);
    return new TlsFiles(
        Files.writeString(folder.resolve(name + ".crt"), certificate.getCertificatePathPEM()),
        Files.writeString(folder.resolve(name + ".key"), certificate.getPrivateKeyPEM()),
        Files.writeString(folder.resolve(name + ".ca"), trusted.getCertificatePEM()));
  }

  private static X509Bundle authority() throws Exception {
    return new CertificateBuilder()
        .subject("CN=authority")
        .setIsCertificateAuthority(true)
        .buildSelfSigned();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(POLL);
    }
  }

  private static final class RecordingListener implements PeerListener {

    private final Set<HostId> connected = ConcurrentHashMap.newKeySet();

    @Override
    public void onConnected(HostId peer) {
      connected.add(peer);
    }

    @Override
    public void onDisconnected(HostId peer) {}

    @Override
    public void onMessage(HostId peer, PeerMessage message) {}
  }
}
