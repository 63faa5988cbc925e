package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Optional;

/**
 * Pairs the results of both versions at one gateway, so that each comparison is between requests at
 * the same time and load.
 *
 * <p>Failures, times to the first token and times between tokens are paired separately, since a
 * slow first token is known long before the response ends. Each result is in at most one pair of a
 * kind. The number of results held is bounded. Not thread safe: one thread owns it.
 */
final class PairedResults {

  private final double maxSlowdown;
  private final Pairing failures = new Pairing();
  private final Pairing firstTokens = new Pairing();
  private final Pairing tokenGaps = new Pairing();
  private final Median oldFirstToken = new Median();
  private final Median oldTokenGap = new Median();
  private long newRequests;
  private long oldRequests;

  PairedResults(double maxSlowdown) {
    this.maxSlowdown = maxSlowdown;
  }

  VersionEvidence evidence() {
    return new VersionEvidence(
        failures.counts, firstTokens.counts, tokenGaps.counts, newRequests, oldRequests);
  }

  /** Resets the counts for a new step; the times of the old version are kept as references. */
  void startStep() {
    failures.startStep();
    firstTokens.startStep();
    tokenGaps.startStep();
    newRequests = 0;
    oldRequests = 0;
  }

  /** Returns whether a first token that has not arrived after {@code waited} is slow. */
  boolean isFirstTokenSlow(Duration waited) {
    return isSlow(waited, oldFirstToken).orElse(false);
  }

  /** Adds the result of one attempt. */
  void add(boolean isNew, RequestResult result, Instant now) {
    addEnd(isNew, result.failed(), now);
    result.firstToken().ifPresent(time -> addFirstToken(isNew, time, now));
    result.tokenGap().ifPresent(time -> addTokenGap(isNew, time, now));
  }

  /** Adds the end of a request. */
  void addEnd(boolean isNew, boolean failed, Instant now) {
    newRequests += isNew ? 1 : 0;
    oldRequests += isNew ? 0 : 1;
    failures.add(isNew, failed, now);
  }

  /** Adds the time to the first token of a request. */
  void addFirstToken(boolean isNew, Duration time, Instant now) {
    addTime(firstTokens, oldFirstToken, isNew, time, now);
  }

  /** Adds the time between tokens of a request. */
  void addTokenGap(boolean isNew, Duration time, Instant now) {
    addTime(tokenGaps, oldTokenGap, isNew, time, now);
  }

  private void addTime(
      Pairing pairing, Median reference, boolean isNew, Duration time, Instant now) {
    isSlow(time, reference).ifPresent(slow -> pairing.add(isNew, slow, now));
    if (!isNew) {
      reference.add(time);
    }
  }

  private Optional<Boolean> isSlow(Duration time, Median reference) {
    return reference.value().map(median -> time.toNanos() > median * maxSlowdown);
  }

  /** Pairs each result of one kind with the newest unpaired result of the other version. */
  private static final class Pairing {

    /** The maximum time between the two results of a pair. */
    private static final Duration WINDOW = Duration.ofSeconds(5);

    private static final int MAX_UNPAIRED = 64;

    private final ArrayDeque<Timed> unpairedNew = new ArrayDeque<>();
    private final ArrayDeque<Timed> unpairedOld = new ArrayDeque<>();
    private PairCounts counts = PairCounts.NONE;

    private record Timed(boolean bad, Instant at) {}

    void startStep() {
      counts = PairCounts.NONE;
      unpairedNew.clear();
    }

    void add(boolean isNew, boolean bad, Instant now) {
      ArrayDeque<Timed> own = isNew ? unpairedNew : unpairedOld;
      ArrayDeque<Timed> others = isNew ? unpairedOld : unpairedNew;
      others.removeIf(other -> now.isAfter(other.at().plus(WINDOW)));
      Timed match = others.pollLast();
      if (match != null) {
        counts = counts.with(isNew ? bad : match.bad(), isNew ? match.bad() : bad);
        return;
      }
      own.addLast(new Timed(bad, now));
      if (own.size() > MAX_UNPAIRED) {
        own.removeFirst();
      }
    }
  }

  /** Computes the median of the last durations, once there are enough of them. */
  private static final class Median {

    private static final int WINDOW = 65;
    private static final int MIN_SAMPLES = 5;

    private final long[] nanos = new long[WINDOW];
    private int count;

    void add(Duration duration) {
      nanos[count % WINDOW] = duration.toNanos();
      count = count == 2 * WINDOW - 1 ? WINDOW : count + 1;
    }

    Optional<Double> value() {
      if (count < MIN_SAMPLES) {
        return Optional.empty();
      }
      long[] sorted = Arrays.copyOf(nanos, Math.min(count, WINDOW));
      Arrays.sort(sorted);
      return Optional.of((double) sorted[sorted.length / 2]);
    }
  }
}
