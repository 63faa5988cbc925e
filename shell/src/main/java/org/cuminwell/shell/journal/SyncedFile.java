package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces small files atomically and durably: after a loss of power a file holds either its old or
 * its new content. Stateless; calls for different files are thread safe.
 */
public final class SyncedFile {

  private static final String UNFINISHED_SUFFIX = ".new";

  private SyncedFile() {}

  /**
   * Replaces the content of a file, or creates it. The new content is durable when this returns.
   *
   * @throws IOException if the disk fails; the file then holds its old or its new content
   */
  public static void replace(Path folder, String name, byte[] bytes) throws IOException {
    Path unfinished = folder.resolve(name + UNFINISHED_SUFFIX);
    writeAndSync(unfinished, bytes);
    Files.move(
        unfinished,
        folder.resolve(name),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    syncFolder(folder);
  }

  /**
   * Syncs a folder, which makes files created, renamed or deleted in it durable.
   *
   * @throws IOException if the disk fails
   */
  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private static void writeAndSync(Path file, byte[] bytes) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer remaining = ByteBuffer.wrap(bytes);
      while (remaining.hasRemaining()) {
        channel.write(remaining);
      }
      channel.force(true);
    }
  }
}
