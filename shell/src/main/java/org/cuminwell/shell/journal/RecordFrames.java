package org.cuminwell.shell.journal;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the frames of a journal file, and tells incomplete writes from damage.
 *
 * <p>A frame consists of the record's length, the checksum (CRC-32C) of that length and the
 * checksum of the record, 4 bytes each, followed by the record. A frame with an empty record is a
 * sync mark: when it was written, all bytes before it had been synced.
 *
 * <p>After a loss of power, each write since the last sync may be missing, complete or torn. A
 * damaged frame with no sync mark after it was therefore never acknowledged, and the file is read
 * up to that frame only. A damaged frame with a sync mark after it may have been acknowledged, so
 * reading fails. Stateless and thread safe.
 */
final class RecordFrames {

  /** The length of the header before each record. */
  static final int HEADER_BYTES = 12;

  private static final int LENGTH_BYTES = 4;
  private static final byte[] EMPTY_RECORD = {};

  private RecordFrames() {}

  /** Returns a buffer that holds the frame of a record, positioned at its start. */
  static ByteBuffer frame(byte[] record) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + record.length);
    frame.putInt(record.length);
    frame.putInt(checksum(frame.array(), 0, LENGTH_BYTES));
    frame.putInt(checksum(record, 0, record.length));
    return frame.put(record).flip();
  }

  /** Returns a sync mark: a frame that records that all bytes before it were synced. */
  static ByteBuffer syncMark() {
    return frame(EMPTY_RECORD);
  }

  /**
   * Passes each record up to the first damaged or incomplete frame to the consumer, and returns the
   * offset at which the last intact frame ends.
   *
   * @throws JournalException if a sync mark follows the damaged frame
   */
  static int readRecords(Path file, byte[] bytes, Consumer<byte[]> records) {
    int position = 0;
    while (isIntact(bytes, position)) {
      int recordStart = position + HEADER_BYTES;
      int recordEnd = recordStart + recordLength(bytes, position);
      if (recordEnd > recordStart) {
        records.accept(Arrays.copyOfRange(bytes, recordStart, recordEnd));
      }
      position = recordEnd;
    }
    requireNoMarkAfter(file, bytes, position);
    return position;
  }

  /** Returns whether a complete frame with matching checksums starts at the offset. */
  private static boolean isIntact(byte[] bytes, int frameStart) {
    if (bytes.length - frameStart < HEADER_BYTES) {
      return false;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, frameStart, HEADER_BYTES);
    int length = header.getInt();
    return header.getInt() == checksum(bytes, frameStart, LENGTH_BYTES)
        && length >= 0
        && length <= bytes.length - frameStart - HEADER_BYTES
        && header.getInt() == checksum(bytes, frameStart + HEADER_BYTES, length);
  }

  private static int recordLength(byte[] bytes, int frameStart) {
    return ByteBuffer.wrap(bytes, frameStart, LENGTH_BYTES).getInt();
  }

  /**
   * Throws if a sync mark follows the position, at which no intact frame starts. Searches at every
   * byte, since the frame boundaries after a damaged frame are unknown.
   */
  private static void requireNoMarkAfter(Path file, byte[] bytes, int position) {
    byte[] mark = syncMark().array();
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
