package org.cuminwell.shell.journal;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Frames the records of a file, so that a write cut short is told from damage.
 *
 * <p>A frame is the length of the record, the checksum of that length and the checksum of the
 * record, 4 bytes each, and the record. A frame without a record is a mark: all before it was
 * synced when it was written. A loss of power may leave any of the writes since the last sync out
 * or whole or torn, so that a damaged frame with no mark behind it was promised to nobody, and the
 * file ends before it. One with a mark behind it was promised. Stateless and thread safe.
 */
final class RecordFrames {

  /** The bytes before each record. */
  static final int HEADER_BYTES = 12;

  private static final int LENGTH_BYTES = 4;
  private static final byte[] NO_RECORD = {};

  private RecordFrames() {}

  /** Returns the frame of a record, ready to be read. */
  static ByteBuffer frame(byte[] record) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + record.length);
    frame.putInt(record.length);
    frame.putInt(checksum(frame.array(), 0, LENGTH_BYTES));
    frame.putInt(checksum(record, 0, record.length));
    return frame.put(record).flip();
  }

  /** Returns the frame that says that all before it was synced. */
  static ByteBuffer mark() {
    return frame(NO_RECORD);
  }

  /**
   * Passes on each whole record, and returns the length of the file up to the last of them.
   *
   * @throws JournalException if a frame that was synced is damaged
   */
  static int read(Path file, byte[] bytes, Consumer<byte[]> records) {
    int position = 0;
    while (isSound(bytes, position)) {
      int begin = position + HEADER_BYTES;
      int end = begin + length(bytes, position);
      if (end > begin) {
        records.accept(Arrays.copyOfRange(bytes, begin, end));
      }
      position = end;
    }
    requireUnsynced(file, bytes, position);
    return position;
  }

  private static boolean isSound(byte[] bytes, int start) {
    if (bytes.length - start < HEADER_BYTES) {
      return false;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, start, HEADER_BYTES);
    int length = header.getInt();
    return header.getInt() == checksum(bytes, start, LENGTH_BYTES)
        && length >= 0
        && length <= bytes.length - start - HEADER_BYTES
        && header.getInt() == checksum(bytes, start + HEADER_BYTES, length);
  }

  private static int length(byte[] bytes, int start) {
    return ByteBuffer.wrap(bytes, start, LENGTH_BYTES).getInt();
  }

  /** Makes sure that no mark follows the position, where no sound frame begins. */
  private static void requireUnsynced(Path file, byte[] bytes, int position) {
    byte[] mark = mark().array();
    for (int i = position; i <= bytes.length - mark.length; i++) {
      if (!Arrays.equals(bytes, i, i + mark.length, mark, 0, mark.length)) {
        continue;
      }
      throw new JournalException(
          file
              + " is damaged at byte "
              + position
              + "; move the data folder away and start this host without --bootstrap, so that it"
              + " gets its state from the other control hosts");
    }
  }

  private static int checksum(byte[] bytes, int start, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes, start, length);
    return (int) checksum.getValue();
  }
}
