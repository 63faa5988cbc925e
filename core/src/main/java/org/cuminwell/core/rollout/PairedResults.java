package org.cuminwell.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;

/**
 * Pairs the results of both versions at one gateway, so that each comparison is of the same time
 * and load.
 *
 * <p>Each result is in one pair at most. Holds a bounded number of results. Not thread safe: one
 * thread owns it.
 */
final class PairedResults {

  /** How far apart the two results of a pair may end. */
  private static final Duration PAIR_WINDOW = Duration.ofSeconds(5);

  private static final int MAX_UNPAIRED = 64;

  private final double maxSlowdown;
  private final ArrayDeque<Timed> unpairedNew = new ArrayDeque<>();
  private final ArrayDeque<Timed> unpairedOld = new ArrayDeque<>();
  private final Median oldFirstToken = new Median();
  private final Median oldTokenGap = new Median();
  private VersionEvidence seen = VersionEvidence.NONE;

  private record Timed(RequestResult result, Instant at) {}

  PairedResults(double maxSlowdown) {
    this.maxSlowdown = maxSlowdown;
  }

  VersionEvidence seen() {
    return seen;
  }

  /** Starts the counts anew for a new step; what is known of the old version's speed stays. */
  void startStep() {
    seen = VersionEvidence.NONE;
    unpairedNew.clear();
  }

  void add(boolean isNew, RequestResult result, Instant now) {
    ArrayDeque<Timed> own = isNew ? unpairedNew : unpairedOld;
    ArrayDeque<Timed> others = isNew ? unpairedOld : unpairedNew;
    others.removeIf(other -> now.isAfter(other.at().plus(PAIR_WINDOW)));
    Timed match = others.pollLast();
    PairCounts failures = seen.failures();
    PairCounts firstTokens = seen.firstTokens();
    PairCounts tokenGaps = seen.tokenGaps();
    if (match == null) {
      own.addLast(new Timed(result, now));
      if (own.size() > MAX_UNPAIRED) {
        own.removeFirst();
      }
    } else {
      RequestResult newer = isNew ? result : match.result();
      RequestResult older = isNew ? match.result() : result;
      failures = failures.with(newer.failed(), older.failed());
      firstTokens = compare(firstTokens, newer, older, RequestResult::firstToken, oldFirstToken);
      tokenGaps = compare(tokenGaps, newer, older, RequestResult::tokenGap, oldTokenGap);
    }
    seen =
        new VersionEvidence(
            failures,
            firstTokens,
            tokenGaps,
            seen.newRequests() + (isNew ? 1 : 0),
            seen.oldRequests() + (isNew ? 0 : 1));
    if (!isNew) {
      result.firstToken().ifPresent(oldFirstToken::add);
      result.tokenGap().ifPresent(oldTokenGap::add);
    }
  }

  private PairCounts compare(
      PairCounts counts,
      RequestResult newer,
      RequestResult older,
      Function<RequestResult, Optional<Duration>> time,
      Median reference) {
    Optional<Duration> newTime = time.apply(newer);
    Optional<Duration> oldTime = time.apply(older);
    Optional<Double> limit = reference.value().map(median -> median * maxSlowdown);
    if (newTime.isEmpty() || oldTime.isEmpty() || limit.isEmpty()) {
      return counts;
    }
    return counts.with(
        newTime.get().toNanos() > limit.get(), oldTime.get().toNanos() > limit.get());
  }

  /** Knows the median of the last durations. */
  private static final class Median {

    private static final int WINDOW = 65;
    private static final int ENOUGH = 9;

    private final long[] nanos = new long[WINDOW];
    private int count;

    void add(Duration duration) {
      nanos[count % WINDOW] = duration.toNanos();
      count = count == 2 * WINDOW - 1 ? WINDOW : count + 1;
    }

    Optional<Double> value() {
      if (count < ENOUGH) {
        return Optional.empty();
      }
      long[] sorted = Arrays.copyOf(nanos, Math.min(count, WINDOW));
      Arrays.sort(sorted);
      return Optional.of((double) sorted[sorted.length / 2]);
    }
  }
}
