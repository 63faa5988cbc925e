package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cuminwell.shell.peer.TlsFiles;

/** Holds the flags that prove a host to the others. Confined to the start-up thread. */
final class TlsFlags {

  @Parameter(names = "--tls-cert", description = "PEM file of this host's certificate")
  private String certificate = "";

  @Parameter(names = "--tls-key", description = "PEM file of the certificate's private key")
  private String key = "";

  @Parameter(names = "--tls-ca", description = "PEM file of the authorities that vouch for hosts")
  private String authorities = "";

  /**
   * Returns the files, or empty if none is named.
   *
   * @throws SettingException if only some are named or one can't be read
   */
  Optional<TlsFiles> files() throws SettingException {
    if (certificate.isEmpty() && key.isEmpty() && authorities.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new TlsFiles(
            readable("--tls-cert", certificate),
            readable("--tls-key", key),
            readable("--tls-ca", authorities)));
  }

  private static Path readable(String flag, String name) throws SettingException {
    if (name.isEmpty()) {
      throw new SettingException(
          flag, "name it too: --tls-cert, --tls-key and --tls-ca go together");
    }
    Path path = Path.of(name);
    if (!Files.isReadable(path)) {
      throw new SettingException(flag, "can't read " + name);
    }
    return path;
  }
}
