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
 * Proves both ends of a connection to each other.
 *
 * <p>A peer must hold a certificate of a known authority, and may call itself only by the common
 * name in it. Addresses are not checked, since hosts move. Files that have changed are read again;
 * bad ones leave the last good ones in use. Thread safe.
 */
public final class PeerTls {

  private static final System.Logger LOG = System.getLogger(PeerTls.class.getName());

  /** How often the files are looked at. */
  public static final Duration RELOAD = Duration.ofSeconds(5);

  private static final int HANDSHAKE_SECONDS = 3;

  private final TlsFiles files;
  private volatile Contexts contexts;

  private PeerTls(TlsFiles files, Contexts contexts) {
    this.files = files;
    this.contexts = contexts;
  }

  /** Holds what one reading of the files gave. Immutable and thread safe. */
  private record Contexts(SslContext server, SslContext client, List<FileTime> readAt) {}

  /**
   * Reads the files.
   *
   * @throws IOException if a file can't be read or used; the message says which
   */
  public static PeerTls of(TlsFiles files) throws IOException {
    return new PeerTls(files, read(files));
  }

  /**
   * Reads the files at the start of a process.
   *
   * @throws IllegalStateException if a file can't be read or used; the message says which
   */
  public static PeerTls orFail(TlsFiles files) {
    try {
      return of(files);
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  /** Reads the files again if one has changed; connections that stand keep what they have. */
  public void reloadIfChanged() {
    try {
      if (!times(files).equals(contexts.readAt())) {
        contexts = read(files);
        LOG.log(System.Logger.Level.INFO, "certificates read again");
      }
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "keeping the old certificates: " + e.getMessage());
    }
  }

  /** Returns a handler for a connection that a peer has opened. */
  SslHandler serverHandler(Channel channel) {
    return withTimeout(contexts.server().newHandler(channel.alloc()));
  }

  /** Returns a handler for a connection that this host opens. */
  SslHandler clientHandler(Channel channel) {
    return withTimeout(contexts.client().newHandler(channel.alloc()));
  }

  /** Returns the host id in the peer's certificate; empty if there is none. */
  static Optional<String> provenName(SslHandler handler) {
    try {
      Certificate[] chain = handler.engine().getSession().getPeerCertificates();
      return chain.length > 0 && chain[0] instanceof X509Certificate own
          ? commonName(own)
          : Optional.empty();
    } catch (SSLPeerUnverifiedException e) {
      return Optional.empty();
    }
  }

  /** Returns whether the peer at the other end may call itself by the name. */
  static boolean proves(SslHandler handler, HostId claimed) {
    return provenName(handler).filter(claimed.value()::equals).isPresent();
  }

  private static Contexts read(TlsFiles files) throws IOException {
    try {
      List<FileTime> readAt = times(files);
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
      return new Contexts(server, client, readAt);
    } catch (SSLException | IllegalArgumentException e) {
      throw new IOException("can't use " + files + ": " + e.getMessage(), e);
    }
  }

  private static List<FileTime> times(TlsFiles files) throws IOException {
    return List.of(
        Files.getLastModifiedTime(files.certificate()),
        Files.getLastModifiedTime(files.key()),
        Files.getLastModifiedTime(files.authorities()));
  }

  private static Optional<String> commonName(X509Certificate certificate) {
    try {
      LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
      return subject.getRdns().stream()
          .filter(part -> part.getType().equalsIgnoreCase("CN"))
          .map(part -> part.getValue().toString())
          .findFirst();
    } catch (InvalidNameException e) {
      return Optional.empty();
    }
  }

  private static SslHandler withTimeout(SslHandler handler) {
    handler.setHandshakeTimeout(HANDSHAKE_SECONDS, TimeUnit.SECONDS);
    return handler;
  }
}
