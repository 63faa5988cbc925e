package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Returns the least of the delays that were measured within a window.
 *
 * <p>A queue that never empties delays all samples; a pause of the process delays some. Without
 * samples that span three quarters of the window the delay counts as zero, since the first samples
 * after a pause show the pause alone. Samples that lie at most a sixteenth of the window apart are
 * merged, so that memory is bounded. Not thread safe.
 */
final class StandingDelay {

  private static final int SLICES = 16;

  private final Deque<Slice> slices = new ArrayDeque<>();

  /** Holds the least delay of samples that were taken shortly one after another. Immutable. */
  private record Slice(Instant since, Duration least) {}

  /** Records a delay; {@code window} is how long it counts. */
  void record(Duration delay, Duration window, Instant now) {
    Slice newest = slices.peekLast();
    if (newest != null && now.isBefore(newest.since().plus(window.dividedBy(SLICES)))) {
      if (delay.compareTo(newest.least()) < 0) {
        slices.removeLast();
        slices.addLast(new Slice(newest.since(), delay));
      }
    } else {
      slices.addLast(new Slice(now, delay));
    }
    removeExpired(window, now);
  }

  /**
   * Returns the least delay of the window; zero if its samples span less than three quarters of it.
   */
  Duration least(Duration window, Instant now) {
    removeExpired(window, now);
    if (slices.isEmpty()
        || slices.getFirst().since().isAfter(now.minus(window.multipliedBy(3).dividedBy(4)))) {
      return Duration.ZERO;
    }
    return slices.stream().map(Slice::least).min(Duration::compareTo).orElse(Duration.ZERO);
  }

  private void removeExpired(Duration window, Instant now) {
    Instant earliest = now.minus(window);
    while (!slices.isEmpty() && slices.getFirst().since().isBefore(earliest)) {
      slices.removeFirst();
    }
  }
}
