package org.cuminwell.shell.forward;

import java.util.Locale;
import java.util.Optional;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.shell.exchange.ResponseStart;

/**
 * Passes a stream of server-sent events on unchanged, and finds fault with it if it ends within an
 * event.
 *
 * <p>A response without a length ends with its connection, so that nothing else tells a broken
 * stream from a whole one. Not thread safe: it belongs to one response.
 */
final class EventBoundaryCheck implements BodyFilter {

  private static final String EVENT_STREAM = "text/event-stream";
  private static final String UNTYPED = "application/octet-stream";

  private final EventScanner scanner = new EventScanner();
  private boolean isInEvent;

  /** Returns whether the response holds events, as far as its content type tells. */
  static boolean appliesTo(ResponseStart response) {
    String type = response.headers().first("Content-Type").orElse(UNTYPED);
    String mediaType = type.split(";", -1)[0].strip().toLowerCase(Locale.ROOT);
    return response.isSuccess() && (mediaType.equals(EVENT_STREAM) || mediaType.equals(UNTYPED));
  }

  @Override
  public Result accept(byte[] part) {
    if (part.length > 0) {
      isInEvent = scanner.scan(part, 0) < part.length;
    }
    return new Result.Pass(part);
  }

  @Override
  public Optional<ForwardAttemptOutcome> findFaultAtEnd() {
    return isInEvent ? Optional.of(AttemptFailures.brokenOff()) : Optional.empty();
  }
}
