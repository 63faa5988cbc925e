package org.cuminwell.shell.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.shell.journal.SyncedFile;
import org.cuminwell.wire.ConfigurationFile;
import org.cuminwell.wire.WireFormatException;

/**
 * Keeps a gateway's last configuration in its data folder.
 *
 * <p>Invariant: the file holds one whole configuration at any moment, since a new one is synced
 * under another name before it takes the place of the old one. Not thread safe: after the start one
 * duty thread owns it.
 */
final class ConfigurationStore {

  private static final System.Logger LOG = System.getLogger(ConfigurationStore.class.getName());
  private static final String NAME = "configuration";

  private final Path folder;

  /**
   * Makes a store in the folder, which is created if need be.
   *
   * @throws IllegalStateException if the folder can't be made
   */
  ConfigurationStore(Path folder) {
    this.folder = folder;
    try {
      Files.createDirectories(folder);
    } catch (IOException e) {
      throw new IllegalStateException("can't make the data folder " + folder, e);
    }
  }

  /** Returns what is kept; a file that can't be trusted counts as none. */
  Optional<Configuration> load() {
    Path file = folder.resolve(NAME);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    try {
      return Optional.of(ConfigurationFile.decode(Files.readAllBytes(file)));
    } catch (IOException | WireFormatException e) {
      LOG.log(System.Logger.Level.WARNING, "starting without the kept configuration in " + file, e);
      return Optional.empty();
    }
  }

  /**
   * Keeps the configuration in place of the one before; it is on the disk when this returns.
   *
   * @throws UncheckedIOException if it can't be written; what was kept before stays
   */
  void keep(Configuration configuration) {
    try {
      SyncedFile.replace(folder, NAME, ConfigurationFile.encode(configuration));
    } catch (IOException e) {
      throw new UncheckedIOException("can't keep the configuration in " + folder, e);
    }
  }
}
