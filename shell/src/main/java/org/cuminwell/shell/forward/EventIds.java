package org.cuminwell.shell.forward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Finds the ids of whole server-sent events, whose lines end with LF. Stateless, thread safe. */
final class EventIds {

  private static final String FIELD = "id:";

  private EventIds() {}

  /** Returns whether at least one of the events has an id. */
  static boolean containsId(byte[] bytes) {
    boolean atLineStart = true;
    for (int i = 0; i + FIELD.length() <= bytes.length; i++) {
      if (atLineStart && isField(bytes, i)) {
        return true;
      }
      atLineStart = bytes[i] == '\n';
    }
    return false;
  }

  /** Returns the id of the last event that has an id. */
  static Optional<String> findLast(byte[] events) {
    String[] lines = new String(events, StandardCharsets.UTF_8).split("\n", -1);
    for (int i = lines.length - 1; i >= 0; i--) {
      if (lines[i].startsWith(FIELD)) {
        return Optional.of(lines[i].substring(FIELD.length()).strip());
      }
    }
    return Optional.empty();
  }

  private static boolean isField(byte[] bytes, int start) {
    for (int i = 0; i < FIELD.length(); i++) {
      if (bytes[start + i] != FIELD.charAt(i)) {
        return false;
      }
    }
    return true;
  }
}
