package org.cuminwell.shell.journal;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Frames the records of a file, so that a write cut short is told from damage.
 *
 * <p>A frame is the length of the record, the checksum of that length and the checksum of the
 * record, 4 bytes each, and the record. A file that ends within a frame was cut while it was
 * written; nobody was told that the frame is durable. A whole frame with a wrong checksum is
 * damage, for it may have been promised. Stateless and thread safe.
 */
final class RecordFrames {

  /** The bytes before each record. */
  static final int HEADER_BYTES = 12;

  private static final int LENGTH_BYTES = 4;

  private RecordFrames() {}

  /** Returns the frame of a record, ready to be read. */
  static ByteBuffer frame(byte[] record) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + record.length);
    frame.putInt(record.length);
    frame.putInt(checksum(frame.array(), 0, LENGTH_BYTES));
    frame.putInt(checksum(record, 0, record.length));
    return frame.put(record).flip();
  }

  /**
   * Passes on each whole record, and returns the length of the file up to the last of them.
   *
   * @throws JournalException if a frame is damaged
   */
  static int read(Path file, byte[] bytes, Consumer<byte[]> records) {
    ByteBuffer from = ByteBuffer.wrap(bytes);
    while (from.remaining() >= HEADER_BYTES && !isZero(bytes, from.position())) {
      int start = from.position();
      int length = from.getInt();
      require(from.getInt() == checksum(bytes, start, LENGTH_BYTES), file, start);
      int expected = from.getInt();
      if (length > from.remaining()) {
        return start;
      }
      byte[] record = new byte[length];
      from.get(record);
      require(expected == checksum(record, 0, length), file, start);
      records.accept(record);
    }
    return from.position();
  }

  private static void require(boolean sound, Path file, int position) {
    if (!sound) {
      throw new JournalException(
          file
              + " is damaged at byte "
              + position
              + "; move the data folder away and start this host without --bootstrap, so that it"
              + " gets its state from the other control hosts");
    }
  }

  /** Returns whether only zeros follow, which a file system may leave after a loss of power. */
  private static boolean isZero(byte[] bytes, int start) {
    for (int i = start; i < bytes.length; i++) {
      if (bytes[i] != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] bytes, int start, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, start, length);
    return (int) checksum.getValue();
  }
}
