package org.cuminwell.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.cuminwell.core.config.Configuration;

/**
 * Maps a configuration to the bytes of a file and back.
 *
 * <p>The file is a mark of the format, the CRC-32C of the rest, and the protobuf message; so a torn
 * or altered file is found out. Stateless and thread safe.
 */
public final class ConfigurationFile {

  private static final int MARK = 0x63776601;
  private static final int HEADER_BYTES = 2 * Integer.BYTES;

  private ConfigurationFile() {}

  /** Returns the bytes of a file that holds the configuration. */
  public static byte[] encode(Configuration configuration) {
    byte[] body = ConfigurationCodec.toProto(configuration).toByteArray();
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .putInt(MARK)
        .putInt(checksum(body))
        .put(body)
        .array();
  }

  /**
   * Returns the configuration that the bytes of a file hold.
   *
   * @throws WireFormatException if the file is torn, altered or of another format
   */
  public static Configuration decode(byte[] file) throws WireFormatException {
    if (file.length < HEADER_BYTES || ByteBuffer.wrap(file).getInt() != MARK) {
      throw new WireFormatException("not a configuration file");
    }
    byte[] body = java.util.Arrays.copyOfRange(file, HEADER_BYTES, file.length);
    if (ByteBuffer.wrap(file).getInt(Integer.BYTES) != checksum(body)) {
      throw new WireFormatException("the checksum of the configuration file is wrong");
    }
    try {
      return ConfigurationCodec.fromProto(
          org.cuminwell.wire.generated.Configuration.parseFrom(body));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new WireFormatException("the configuration file is not valid: " + e.getMessage(), e);
    }
  }

  private static int checksum(byte[] body) {
    CRC32C sum = new CRC32C();
    sum.update(body);
    return (int) sum.getValue();
  }
}
