package org.cuminwell.shell.journal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes the frames of a journal file.
 *
 * <p>A frame consists of the record's length, the checksum (CRC-32C) of that length and the
 * checksum of the record, 4 bytes each, followed by the record. A frame with an empty record is a
 * sync mark: when it was written, all bytes before it had been synced. Stateless and thread safe.
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
    frame.putInt(checksumOf(record.length));
    frame.putInt(checksumOf(record));
    return frame.put(record).flip();
  }

  /** Returns a sync mark: a frame that records that all bytes before it were synced. */
  static ByteBuffer syncMark() {
    return frame(EMPTY_RECORD);
  }

  /** Returns the checksum of a record's length. */
  static int checksumOf(int length) {
    return checksumOf(ByteBuffer.allocate(LENGTH_BYTES).putInt(length).array());
  }

  /** Returns the checksum of a record. */
  static int checksumOf(byte[] record) {
    CRC32C checksum = new CRC32C();
    checksum.update(record, 0, record.length);
    return (int) checksum.getValue();
  }
}
