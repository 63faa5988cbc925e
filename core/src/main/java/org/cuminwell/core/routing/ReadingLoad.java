package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;

/**
 * Estimates how busy one engine is with reading prompts, by what this gateway sends it and sees.
 *
 * <p>An engine reads prompts between the tokens that it generates, so that the pauses between the
 * events of its answers show which part of its time goes to reading. Two estimates are kept: the
 * planned one, from the tokens sent lately, which is known at once, and the observed one, from
 * pauses, which covers the work of other gateways too. The observed one teaches the planned one how
 * fast the engine reads. Not thread safe: the thread of its {@link EngineRouter} owns it.
 */
final class ReadingLoad {

  /** Over how long it is averaged what this gateway sends to an engine. */
  static final double LONG_WINDOW_SECONDS = 5;

  /** How long a prefix is expected to stay in an engine's cache after its last use. */
  static final Duration PREFIX_KEPT = Duration.ofSeconds(8);

  private static final double WINDOW_SECONDS = 1;
  private static final double PAUSE_WEIGHT = 0.08;
  private static final double LEAST_TELLING = 0.3;
  private static final double SATURATED = 0.9;
  private static final double SHORTEST_PAUSE_RISE = 1.000_5;
  private static final double OBSERVED_FOR_SECONDS = 0.7;
  private static final double WAIT_WEIGHT = 0.15;
  private static final int MAX_PREFIXES = 4_096;

  private final LinkedHashMap<Long, Instant> prefixes = new LinkedHashMap<>(64, 0.75f, true);
  private final ReadingRate rate = new ReadingRate();
  private final ReadingRate rateOfAll;
  private final FadingSum recent = new FadingSum(WINDOW_SECONDS);
  private final FadingSum longer = new FadingSum(LONG_WINDOW_SECONDS);
  private double othersPerSecond;
  private double othersRunning;
  private long unread;
  private double pauseSeconds;
  private double shortestPauseSeconds;
  private Instant observedAt = Instant.EPOCH;
  private final FadingSum lateWait = new FadingSum(OBSERVED_FOR_SECONDS);

  /** Makes the load of an engine of which nothing is known; {@code rateOfAll} learns with it. */
  ReadingLoad(ReadingRate rateOfAll) {
    this.rateOfAll = rateOfAll;
  }

  /** Counts a prompt that was sent, of which the engine must read {@code tokens}. */
  void sent(Prompt prompt, long tokens, Instant now) {
    recent.add((double) tokens, now);
    longer.add((double) tokens, now);
    unread += tokens;
    for (int count = 1; count <= prompt.sharedParts(); count++) {
      prefixes.put(prompt.prefix(count), now);
    }
    while (prefixes.size() > MAX_PREFIXES) {
      prefixes.pollFirstEntry();
    }
  }

  /** Returns the tokens a second that this gateway sent over some seconds. */
  double sentPerSecond(Instant now) {
    return longer.perSecond(now);
  }

  /**
   * Takes in what the other gateways are expected to do.
   *
   * @param tokensPerSecond what they send a second
   * @param running how many requests of theirs run here
   */
  void expectOthers(double tokensPerSecond, double running) {
    othersPerSecond = tokensPerSecond;
    othersRunning = running;
  }

  /** Returns how many requests of other gateways are expected to run here. */
  double othersRunning() {
    return othersRunning;
  }

  /** Counts a prompt that was read, or that needs not be read any more. */
  void read(long tokens) {
    unread = Math.max(0, unread - tokens);
  }

  /**
   * Takes in how long an answer took to begin.
   *
   * @param tokens what the engine was expected to read for it
   */
  void began(long tokens, Duration took, Instant now) {
    double beyond = Math.max(0, took.toNanos() / 1e6 - millisToRead(tokens));
    lateWait.add(WAIT_WEIGHT * (beyond - lateWait.at(now)), now);
  }

  /**
   * Takes in how fast events of an answer came.
   *
   * @param pause the mean time between them
   */
  void observe(Duration pause, Instant now) {
    double seconds = pause.toNanos() / 1e9;
    if (seconds <= 0) {
      return;
    }
    boolean first = shortestPauseSeconds == 0;
    pauseSeconds = first ? seconds : pauseSeconds + pauseWeight(now) * (seconds - pauseSeconds);
    shortestPauseSeconds =
        first ? seconds : Math.min(seconds, shortestPauseSeconds * SHORTEST_PAUSE_RISE);
    observedAt = now;
    learnRate(now);
  }

  /** Forgets what another life of the engine knew and showed. */
  void restarted() {
    prefixes.clear();
    recent.clear();
    longer.clear();
    othersPerSecond = 0;
    othersRunning = 0;
    lateWait.clear();
    pauseSeconds = shortestPauseSeconds;
  }

  /**
   * Returns how many tokens of the prompt the engine is expected to read.
   *
   * @param likely how likely the engine has kept the shared parts though this gateway did not send
   *     them lately
   */
  long toRead(Prompt prompt, double likely, Instant now) {
    int count = 0;
    while (count < prompt.sharedParts() && isKept(prompt.prefix(count + 1), now)) {
      count++;
    }
    long own = prompt.tokensAfter(prompt.sharedParts());
    return own + (long) ((1 - likely) * (double) (prompt.tokensAfter(count) - own));
  }

  /** Returns the part of the engine's time that goes to reading. */
  double utilisation(Instant now) {
    return Math.max(planned(now) / tokensPerSecond(), observed(now));
  }

  /**
   * Returns how long a prompt waits until the engine reads it, in milliseconds: as long as it takes
   * to read what this gateway sent before, or as others waited lately.
   */
  double waitMillis(Instant now) {
    return Math.max(lateWait.at(now), millisToRead(unread));
  }

  /** Returns how long the engine takes to read the tokens, in milliseconds. */
  double millisToRead(long tokens) {
    return 1e3 * (double) tokens / tokensPerSecond();
  }

  private double tokensPerSecond() {
    return rate.tokensPerSecond(rateOfAll);
  }

  private boolean isKept(long prefix, Instant now) {
    Instant used = prefixes.get(prefix);
    return used != null && now.isBefore(used.plus(PREFIX_KEPT));
  }

  /** Weighs a pause the more, the longer ago the one before was seen. */
  private double pauseWeight(Instant now) {
    double age = Math.max(0, Duration.between(observedAt, now).toNanos() / 1e9);
    return Math.max(PAUSE_WEIGHT, 1 - Math.exp(-age / OBSERVED_FOR_SECONDS));
  }

  private void learnRate(Instant now) {
    double observed = observed(now);
    if (observed >= SATURATED) {
      rate.lower();
      rateOfAll.lower();
    } else if (observed >= LEAST_TELLING) {
      double shown = planned(now) / observed;
      rate.learn(shown);
      rateOfAll.learn(shown);
    }
  }

  private double observed(Instant now) {
    if (pauseSeconds <= shortestPauseSeconds) {
      return 0;
    }
    double age = Math.max(0, Duration.between(observedAt, now).toNanos() / 1e9);
    return (1 - shortestPauseSeconds / pauseSeconds) * Math.exp(-age / OBSERVED_FOR_SECONDS);
  }

  /** Returns the tokens sent a second, by this gateway lately and by the others as expected. */
  private double planned(Instant now) {
    return recent.perSecond(now) + othersPerSecond;
  }
}
