package org.cuminwell.shell.peer;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.cuminwell.core.model.HostId;

/**
 * Authenticates both ends of a connection by mutual TLS.
 *
 * <p>A peer must present a certificate of a trusted authority, and its host id must be the common
 * name of that certificate. Addresses are not checked, since a host may change its address. Changed
 * files are reloaded; if that fails, the certificates loaded last stay in use. Thread safe.
 */
public final class PeerTls {

  private static final System.Logger LOG = System.getLogger(PeerTls.class.getName());

  /** How often to call {@link #reloadIfChanged}. */
  public static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

  private static final int HANDSHAKE_TIMEOUT_SECONDS = 3;

  private final TlsFiles files;
  private volatile SslContexts sslContexts;

  private PeerTls(TlsFiles files, SslContexts sslContexts) {
    this.files = files;
    this.sslContexts = sslContexts;
  }

  /**
   * Holds the TLS contexts made from the files, and the modification times of the files then.
   * Immutable and thread safe.
   */
  private record SslContexts(
      SslContext server, SslContext client, List<FileTime> modificationTimes) {}

  /**
   * Loads the files.
   *
   * @throws IOException if a file can't be read or used; the message names that file, or all files
   *     if it isn't known which one is at fault
   */
  public static PeerTls load(TlsFiles files) throws IOException {
    return new PeerTls(files, read(files));
  }

  /**
   * Loads the files at the start of a process.
   *
   * @throws IllegalStateException if a file can't be read or used; see {@link #load}
   */
  public static PeerTls loadOrFail(TlsFiles files) {
    try {
      return load(files);
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  /**
   * Reloads the files if one has changed; open connections keep the certificates they started with.
   */
  public void reloadIfChanged() {
    try {
      if (!modificationTimes(files).equals(sslContexts.modificationTimes())) {
        sslContexts = read(files);
        LOG.log(System.Logger.Level.INFO, "reloaded the changed TLS certificates");
      }
    } catch (IOException e) {
      LOG.log(
          System.Logger.Level.WARNING,
          "can't reload the TLS certificates, keeping the old ones: " + e.getMessage());
    }
  }

  /** Returns the TLS handler for a connection that a peer has opened. */
  SslHandler serverHandler(Channel channel) {
    return withHandshakeTimeout(sslContexts.server().newHandler(channel.alloc()));
  }

  /** Returns the TLS handler for a connection that this host opens. */
  SslHandler clientHandler(Channel channel) {
    return withHandshakeTimeout(sslContexts.client().newHandler(channel.alloc()));
  }

  /** Returns the common name in the peer's certificate; empty if it has none or sent none. */
  static Optional<String> certifiedName(SslHandler handler) {
    try {
      Certificate[] chain = handler.engine().getSession().getPeerCertificates();
      return chain.length > 0 && chain[0] instanceof X509Certificate leaf
          ? commonName(leaf)
          : Optional.empty();
    } catch (SSLPeerUnverifiedException e) {
      return Optional.empty();
    }
  }

  /** Returns whether the peer's certificate names the host id that the peer claims. */
  static boolean isCertifiedAs(SslHandler handler, HostId claimedId) {
    return certifiedName(handler).filter(claimedId.value()::equals).isPresent();
  }

  /** Builds the TLS contexts from the files. */
  private static SslContexts read(TlsFiles files) throws IOException {
    try {
      List<FileTime> modificationTimes = modificationTimes(files);
      SslContext server =
          SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.authorities().toFile())
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .keyManager(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.authorities().toFile())
              .endpointIdentificationAlgorithm(null)
              .build();
      return new SslContexts(server, client, modificationTimes);
    } catch (SSLException | IllegalArgumentException e) {
      throw new IOException("can't use " + files + ": " + e.getMessage(), e);
    }
  }

  private static List<FileTime> modificationTimes(TlsFiles files) throws IOException {
    return List.of(
        Files.getLastModifiedTime(files.certificate()),
        Files.getLastModifiedTime(files.key()),
        Files.getLastModifiedTime(files.authorities()));
  }

  private static Optional<String> commonName(X509Certificate certificate) {
    try {
      LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
      return subject.getRdns().stream()
          .filter(rdn -> rdn.getType().equalsIgnoreCase("CN"))
          .map(rdn -> rdn.getValue().toString())
          .findFirst();
    } catch (InvalidNameException e) {
      return Optional.empty();
    }
  }

  private static SslHandler withHandshakeTimeout(SslHandler handler) {
    handler.setHandshakeTimeout(HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return handler;
  }
}
