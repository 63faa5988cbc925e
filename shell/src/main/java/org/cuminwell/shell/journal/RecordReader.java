package org.cuminwell.shell.journal;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads the records of a journal file one at a time, and tells incomplete writes from damage.
 *
 * <p>After a loss of power, each write since the last sync may be missing, complete or torn. A
 * damaged frame with no sync mark after it was therefore never acknowledged, and the file is read
 * up to that frame only. A damaged frame with a sync mark after it may have been acknowledged, so
 * reading fails.
 *
 * <p>Invariant: holds at most one record and one buffer, however long the file is. Stateless and
 * thread safe.
 */
final class RecordReader {

  /** The length of the buffer for reads from the file. */
  static final int BUFFER_BYTES = 64 * 1024;

  private RecordReader() {}

  /**
   * Passes each record up to the first damaged or incomplete frame to the consumer, and returns the
   * offset at which the last intact frame ends.
   *
   * @throws JournalException if a sync mark follows the damaged frame
   * @throws IOException if the file can't be read
   */
  static long readRecords(Storage storage, Path file, Consumer<byte[]> records) throws IOException {
    try (FileChannel channel = storage.open(file, StandardOpenOption.READ)) {
      long end = readIntactRecords(channel, records);
      channel.position(end);
      if (containsMark(bufferedInput(channel))) {
        throw new JournalException(
            file
                + " is damaged at byte "
                + end
                + "; move the data folder away and start this host without --bootstrap, so that it"
                + " gets its state from the other control hosts");
      }
      return end;
    }
  }

  private static long readIntactRecords(FileChannel channel, Consumer<byte[]> records)
      throws IOException {
    long size = channel.size();
    long position = 0;
    DataInputStream input = new DataInputStream(bufferedInput(channel));
    Optional<byte[]> record = readRecord(input, size);
    while (record.isPresent()) {
      byte[] bytes = record.get();
      if (bytes.length > 0) {
        records.accept(bytes);
      }
      position += RecordFrames.HEADER_BYTES + bytes.length;
      record = readRecord(input, size - position);
    }
    return position;
  }

  /**
   * Returns the record of the next frame; empty if the frame is damaged or longer than the {@code
   * remaining} bytes of the file.
   */
  private static Optional<byte[]> readRecord(DataInputStream input, long remaining)
      throws IOException {
    if (remaining < RecordFrames.HEADER_BYTES) {
      return Optional.empty();
    }
    int length = input.readInt();
    int lengthChecksum = input.readInt();
    int recordChecksum = input.readInt();
    if (lengthChecksum != RecordFrames.checksumOf(length)
        || length < 0
        || length > remaining - RecordFrames.HEADER_BYTES) {
      return Optional.empty();
    }
    byte[] record = new byte[length];
    input.readFully(record);
    return recordChecksum == RecordFrames.checksumOf(record)
        ? Optional.of(record)
        : Optional.empty();
  }

  /**
   * Returns whether the input contains a sync mark. Searches at every byte, since the frame
   * boundaries after a damaged frame are unknown.
   */
  private static boolean containsMark(InputStream input) throws IOException {
    byte[] mark = RecordFrames.syncMark().array();
    byte[] window = input.readNBytes(mark.length);
    if (window.length < mark.length) {
      return false;
    }
    while (!Arrays.equals(window, mark)) {
      int next = input.read();
      if (next < 0) {
        return false;
      }
      System.arraycopy(window, 1, window, 0, window.length - 1);
      window[window.length - 1] = (byte) next;
    }
    return true;
  }

  private static InputStream bufferedInput(FileChannel channel) {
    return new BufferedInputStream(Channels.newInputStream(channel), BUFFER_BYTES);
  }
}
