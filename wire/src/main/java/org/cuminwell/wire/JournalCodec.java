package org.cuminwell.wire;

import com.google.protobuf.InvalidProtocolBufferException;

/** Maps records of a journal to bytes and back. Stateless and thread safe. */
public final class JournalCodec {

  private JournalCodec() {}

  /** Returns the bytes of a record, without a length. */
  public static byte[] encode(JournalRecord record) {
    var to = org.cuminwell.wire.generated.JournalRecord.newBuilder();
    switch (record) {
      case JournalRecord.Hard r -> to.setHardState(LogCodec.toProto(r.state()));
      case JournalRecord.Entry r -> to.setEntry(LogCodec.toProto(r.entry()));
      case JournalRecord.Base r -> to.setSnapshot(LogCodec.toProto(r.snapshot()));
    }
    return to.build().toByteArray();
  }

  /**
   * Returns the record in {@code bytes}.
   *
   * @throws WireFormatException if the bytes are not a valid record
   */
  public static JournalRecord decode(byte[] bytes) throws WireFormatException {
    try {
      var from = org.cuminwell.wire.generated.JournalRecord.parseFrom(bytes);
      return switch (from.getKindCase()) {
        case HARD_STATE -> new JournalRecord.Hard(LogCodec.fromProto(from.getHardState()));
        case ENTRY -> new JournalRecord.Entry(LogCodec.fromProto(from.getEntry()));
        case SNAPSHOT -> new JournalRecord.Base(LogCodec.fromProto(from.getSnapshot()));
        case KIND_NOT_SET -> throw new WireFormatException("journal record without a kind");
      };
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new WireFormatException("not a valid journal record: " + e.getMessage(), e);
    }
  }
}
