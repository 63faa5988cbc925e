package org.cuminwell.shell.forward;

import java.util.Arrays;
import java.util.Optional;
import org.cuminwell.core.forward.ForwardAttemptOutcome;

/**
 * Passes a stream of server-sent events on by whole events, so that another endpoint can resume it
 * after the last one.
 *
 * <p>The stream is at fault if it ends within an event, exceeds {@link #MAX_BYTES_WITHOUT_EVENT}
 * without an event that has an id, or has more such events than allowed. Invariant: at most {@link
 * #MAX_BYTES_WITHOUT_EVENT} and one part are held back. Not thread safe: it belongs to one
 * response.
 */
final class EventFraming implements BodyFilter {

  /** The maximum number of bytes that may arrive without an event that has an id. */
  static final int MAX_BYTES_WITHOUT_EVENT = 64 * 1024;

  private static final byte[] NOTHING = {};

  private final long maxEvents;
  private final EventScanner scanner = new EventScanner();
  private byte[] incompleteEvent = NOTHING;

  /** Creates a filter that accepts at most {@code maxEvents} events with an id. */
  EventFraming(long maxEvents) {
    this.maxEvents = maxEvents;
  }

  @Override
  public Result accept(byte[] part) {
    byte[] available = concat(incompleteEvent, part);
    int end = scanner.scan(available, incompleteEvent.length);
    if (scanner.eventCount() > maxEvents) {
      return new Result.Fail(AttemptFailures.tooManyEvents());
    }
    if (scanner.bytesSinceEvent() > MAX_BYTES_WITHOUT_EVENT) {
      return new Result.Fail(
          AttemptFailures.noEventStream(
              "the endpoint sent too many bytes without an event that has an id"));
    }
    incompleteEvent = Arrays.copyOfRange(available, end, available.length);
    return end == 0
        ? new Result.Hold()
        : new Result.Pass(end == available.length ? available : Arrays.copyOf(available, end));
  }

  @Override
  public Optional<ForwardAttemptOutcome> findFaultAtEnd() {
    return incompleteEvent.length == 0
        ? Optional.empty()
        : Optional.of(AttemptFailures.brokenOff());
  }

  private static byte[] concat(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }
}
