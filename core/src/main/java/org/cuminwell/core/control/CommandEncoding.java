package org.cuminwell.core.control;

/**
 * Returns commands as the log holds them, so that a leader applies what its journal and its
 * followers apply. Implementations are thread safe.
 */
@FunctionalInterface
public interface CommandEncoding {

  /**
   * Returns the command that is read back once {@code command} has been encoded. It is equal to
   * {@code command} unless the encoding drops or rounds something, and encodes to the same bytes.
   *
   * @throws IllegalArgumentException if the command can't be encoded, or not be read back
   */
  Command roundTrip(Command command);
}
