package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * Tells what was seen lately of one move, so that a version that has just turned bad is not judged
 * by how it was before.
 *
 * <p>Not thread safe: one thread owns it.
 */
final class RecentEvidence {

  private static final Duration SPAN = Duration.ofSeconds(3);

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  private record Sample(RolloutEvidence total, Instant at) {}

  /** Takes in the sum of everything seen, and returns what has come to it lately. */
  RolloutEvidence add(RolloutEvidence total, Instant now) {
    if (samples.isEmpty() || !samples.getLast().total().equals(total)) {
      samples.addLast(new Sample(total, now));
    }
    while (samples.size() > 1 && isOlder(samples, now)) {
      samples.removeFirst();
    }
    return total.minus(samples.getFirst().total());
  }

  /**
   * Returns whether the second sample also lies before the span, so that the first isn't needed.
   */
  private static boolean isOlder(ArrayDeque<Sample> samples, Instant now) {
    Sample second = samples.stream().skip(1).findFirst().orElseThrow();
    return !second.at().isAfter(now.minus(SPAN));
  }
}
