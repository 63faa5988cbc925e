package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Reaches the files of a journal. Implementations are thread safe. */
interface Storage {

  /** Reaches the files of this machine. */
  Storage LOCAL = new Storage() {};

  /** Opens a file. */
  default FileChannel open(Path path, OpenOption... options) throws IOException {
    return FileChannel.open(path, options);
  }

  /** Gives a file another name in one step, in place of any file of that name. */
  default void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Makes the names in a folder durable. */
  default void syncFolder(Path folder) throws IOException {
    SyncedFile.syncFolder(folder);
  }
}
