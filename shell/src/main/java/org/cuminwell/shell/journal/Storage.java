package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Gives a journal access to its files; tests replace it to inject failures. The default methods use
 * the local file system.
 */
interface Storage {

  /** The local file system. Thread safe. */
  Storage LOCAL = new Storage() {};

  /** Opens a file. */
  default FileChannel open(Path path, OpenOption... options) throws IOException {
    return FileChannel.open(path, options);
  }

  /** Renames a file atomically, and replaces an existing file of the new name. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Syncs a folder, which makes files created, renamed or deleted in it durable. */
  default void syncFolder(Path folder) throws IOException {
    SyncedFile.syncFolder(folder);
  }
}
