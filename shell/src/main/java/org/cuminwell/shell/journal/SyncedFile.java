package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces small files so that a loss of power leaves the old or the new content. Stateless and
 * thread safe for different files.
 */
public final class SyncedFile {

  private static final String UNFINISHED = ".new";

  private SyncedFile() {}

  /**
   * Puts the bytes in place of what the file held; they are on the disk when this returns.
   *
   * @throws IOException if they can't be written; what the file held before stays
   */
  public static void replace(Path folder, String name, byte[] bytes) throws IOException {
    Path unfinished = folder.resolve(name + UNFINISHED);
    write(unfinished, bytes);
    Files.move(
        unfinished,
        folder.resolve(name),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    syncFolder(folder);
  }

  /**
   * Makes names that were added to the folder or removed from it durable.
   *
   * @throws IOException if the disk doesn't take it
   */
  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private static void write(Path file, byte[] bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer rest = ByteBuffer.wrap(bytes);
      while (rest.hasRemaining()) {
        channel.write(rest);
      }
      channel.force(true);
    }
  }
}
