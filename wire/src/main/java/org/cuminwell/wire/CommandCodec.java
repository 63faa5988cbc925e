package org.cuminwell.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cuminwell.core.control.Command;

/** Maps commands of the replicated log to bytes and back. Stateless and thread safe. */
public final class CommandCodec {

  private CommandCodec() {}

  /**
   * Returns the command as it is read back from the log.
   *
   * @throws IllegalArgumentException if the log can't hold the command
   */
  public static Command roundTrip(Command command) {
    try {
      byte[] encoded = StateCodec.toProto(command).toByteArray();
      return StateCodec.fromProto(org.cuminwell.wire.generated.Command.parseFrom(encoded));
    } catch (InvalidProtocolBufferException | ArithmeticException e) {
      throw new IllegalArgumentException("the log can't hold the command: " + e.getMessage(), e);
    }
  }
}
