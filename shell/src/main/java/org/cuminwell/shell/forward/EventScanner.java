package org.cuminwell.shell.forward;

/**
 * Finds the ends of server-sent events as their bytes arrive, and counts the events that have an
 * id.
 *
 * <p>Each byte is scanned once. An event ends with an empty line; lines end with LF, CR or both.
 * Not thread safe: it belongs to one stream.
 */
final class EventScanner {

  private static final String ID_FIELD = "id:";

  private long eventCount;
  private int bytesSinceEvent;
  private int column;
  private boolean lineIsId;
  private boolean eventHasId;

  /** Whether the last byte was a CR, which a LF may follow as part of the same line end. */
  private boolean isAfterCarriageReturn;

  /** Whether the last line end, as far as it was scanned, ended an event. */
  private boolean isAfterEvent;

  /** Returns the number of events with an id that have ended. */
  long eventCount() {
    return eventCount;
  }

  /** Returns the number of bytes scanned since the last event with an id. */
  int bytesSinceEvent() {
    return bytesSinceEvent;
  }

  /**
   * Scans the bytes from index {@code from} on.
   *
   * @return the index after the last event that ends in them, or 0 if none does
   */
  int scan(byte[] bytes, int from) {
    int end = 0;
    for (int i = from; i < bytes.length; i++) {
      bytesSinceEvent++;
      if (!isSecondOfLineEnd(bytes[i])) {
        scanNext(bytes[i]);
      }
      if (isAfterEvent) {
        end = i + 1;
      }
    }
    return end;
  }

  /** Returns whether the byte is the LF of a CR LF, whose CR has ended the line. */
  private boolean isSecondOfLineEnd(byte next) {
    boolean isSecond = isAfterCarriageReturn && next == '\n';
    isAfterCarriageReturn = next == '\r';
    return isSecond;
  }

  private void scanNext(byte next) {
    isAfterEvent = false;
    if (next != '\n' && next != '\r') {
      scanInLine(next);
    } else if (column > 0) {
      endLine();
    } else {
      endEvent();
    }
  }

  private void scanInLine(byte next) {
    if (column < ID_FIELD.length()) {
      lineIsId = (column == 0 || lineIsId) && next == ID_FIELD.charAt(column);
    }
    column++;
  }

  private void endLine() {
    eventHasId |= lineIsId && column >= ID_FIELD.length();
    column = 0;
    lineIsId = false;
  }

  private void endEvent() {
    isAfterEvent = true;
    if (eventHasId) {
      eventCount++;
      bytesSinceEvent = 0;
      eventHasId = false;
    }
  }
}
