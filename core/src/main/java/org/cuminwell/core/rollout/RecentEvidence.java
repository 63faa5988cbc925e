package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * Extracts the recent part of a rollout's evidence, so that a version that has just started to fail
 * is not judged by its earlier results.
 *
 * <p>Not thread safe: one thread owns it.
 */
final class RecentEvidence {

  private static final Duration WINDOW = Duration.ofSeconds(3);

  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  private record Sample(RolloutEvidence total, Instant at) {}

  /** Records the evidence of the whole rollout, and returns what was added to it recently. */
  RolloutEvidence add(RolloutEvidence total, Instant now) {
    if (samples.isEmpty() || !samples.getLast().total().equals(total)) {
      samples.addLast(new Sample(total, now));
    }
    while (samples.size() > 1 && isFirstObsolete(samples, now)) {
      samples.removeFirst();
    }
    return total.minus(samples.getFirst().total());
  }

  /**
   * Returns whether the second sample also lies before the window, so that the first is not needed.
   */
  private static boolean isFirstObsolete(ArrayDeque<Sample> samples, Instant now) {
    Sample second = samples.stream().skip(1).findFirst().orElseThrow();
    return !second.at().isAfter(now.minus(WINDOW));
  }
}
