package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;

/**
 * Estimates how much of its time one engine spends on prefill, from what this gateway sends to it
 * and observes.
 *
 * <p>An engine prefills prompts between the tokens that it generates, so the gaps between the
 * events of its responses show what fraction of its time goes to prefill. Two estimates are kept.
 * The planned one follows at once from the tokens sent recently. The observed one follows from gaps
 * and includes the load of other gateways. The ratio of both gives the prefill rate of the engine.
 * Not thread safe: the thread of its {@link EngineRouter} owns it.
 */
final class PrefillLoad {

  /** The window over which this gateway's tokens per second to an engine are averaged. */
  static final double LONG_WINDOW_SECONDS = 5;

  /** How long a prefix is expected to stay in an engine's cache after its last use. */
  static final Duration PREFIX_CACHE_TIME = Duration.ofSeconds(8);

  private static final double SHORT_WINDOW_SECONDS = 1;
  private static final double MIN_GAP_WEIGHT = 0.08;

  /** The observed utilisation from which on the prefill rate is estimated. */
  private static final double MIN_UTILISATION_FOR_RATE = 0.3;

  /** The observed utilisation from which on an engine counts as saturated. */
  private static final double SATURATED_UTILISATION = 0.9;

  /**
   * The factor by which the shortest gap grows with each observation, so that an old minimum fades.
   */
  private static final double SHORTEST_GAP_GROWTH = 1.000_5;

  private static final double OBSERVATION_DECAY_SECONDS = 0.7;
  private static final double WAIT_WEIGHT = 0.15;

  /** The observed wait above which an engine counts as having a backlog. */
  private static final double MAX_WAIT_MILLIS_FOR_RATE = 100;

  private static final int MAX_PREFIXES = 4_096;

  private final LinkedHashMap<Long, Instant> prefixUsedAt = new LinkedHashMap<>(64, 0.75f, true);
  private final PrefillRate rate = new PrefillRate();
  private final PrefillRate sharedRate;
  private final DecayingSum shortWindowTokens = new DecayingSum(SHORT_WINDOW_SECONDS);
  private final DecayingSum longWindowTokens = new DecayingSum(LONG_WINDOW_SECONDS);
  private double othersTokensPerSecond;
  private double othersRunning;
  private PeerPrefixes peerPrefixes = new PeerPrefixes();
  private boolean isReported;
  private long pendingTokens;
  private double meanGapSeconds;
  private double shortestGapSeconds;
  private Instant observedAt = Instant.EPOCH;
  private final DecayingSum observedWaitMillis = new DecayingSum(OBSERVATION_DECAY_SECONDS);

  /**
   * Creates the load of an engine without observations; {@code sharedRate} is the prefill rate over
   * all engines and is updated with this one's.
   */
  PrefillLoad(PrefillRate sharedRate) {
    this.sharedRate = sharedRate;
  }

  /** Records a prompt that was sent, of which the engine must prefill {@code tokens}. */
  void recordSent(Prompt prompt, long tokens, Instant now) {
    shortWindowTokens.add((double) tokens, now);
    longWindowTokens.add((double) tokens, now);
    pendingTokens += tokens;
    for (int count = 1; count <= prompt.sharedPartCount(); count++) {
      prefixUsedAt.put(prompt.prefixHash(count), now);
    }
    while (prefixUsedAt.size() > MAX_PREFIXES) {
      prefixUsedAt.pollFirstEntry();
    }
  }

  /**
   * Returns the tokens per second that this gateway sent, averaged over {@link
   * #LONG_WINDOW_SECONDS}.
   */
  double sentPerSecond(Instant now) {
    return longWindowTokens.perSecond(now);
  }

  /**
   * Sets the load that the other gateways are expected to put on the engine.
   *
   * @param tokensPerSecond the prefill tokens that they send per second
   * @param running how many of their requests run at the engine
   */
  void setOtherGateways(double tokensPerSecond, double running) {
    othersTokensPerSecond = tokensPerSecond;
    othersRunning = running;
  }

  /**
   * Sets what other gateways have reported.
   *
   * @param isHeard whether any gateway was heard from
   * @param prefixes the prefixes that they have sent to the engine
   */
  void setReported(boolean isHeard, PeerPrefixes prefixes) {
    isReported = isHeard;
    peerPrefixes = prefixes;
  }

  /** Returns how many requests of other gateways are expected to run at the engine. */
  double othersRunning() {
    return othersRunning;
  }

  /** Subtracts a prompt that was prefilled, or need not be any more, from the pending prefill. */
  void releasePending(long tokens) {
    pendingTokens = Math.max(0, pendingTokens - tokens);
  }

  /**
   * Updates the observed wait from the time that a response took to start.
   *
   * @param tokens the tokens that the engine was expected to prefill for it
   */
  void observeStart(long tokens, Duration took, Instant now) {
    double waitedMillis = Math.max(0, took.toNanos() / 1e6 - prefillMillis(tokens));
    observedWaitMillis.add(WAIT_WEIGHT * (waitedMillis - observedWaitMillis.valueAt(now)), now);
  }

  /**
   * Updates the observed utilisation from the pace of a response.
   *
   * @param meanGap the mean time between its events
   */
  void observeEventGap(Duration meanGap, Instant now) {
    double seconds = meanGap.toNanos() / 1e9;
    if (seconds <= 0) {
      return;
    }
    boolean first = shortestGapSeconds == 0;
    meanGapSeconds = first ? seconds : meanGapSeconds + gapWeight(now) * (seconds - meanGapSeconds);
    shortestGapSeconds =
        first ? seconds : Math.min(seconds, shortestGapSeconds * SHORTEST_GAP_GROWTH);
    observedAt = now;
    updateRate(now);
  }

  /**
   * Resets what was learned about the engine before a restart, but keeps its prefill rate, its
   * shortest gap and the pending prefill, which is released as the attempts end.
   */
  void reset() {
    prefixUsedAt.clear();
    peerPrefixes.clear();
    shortWindowTokens.clear();
    longWindowTokens.clear();
    othersTokensPerSecond = 0;
    othersRunning = 0;
    observedWaitMillis.clear();
    meanGapSeconds = shortestGapSeconds;
  }

  /**
   * Returns how many tokens of the prompt the engine is expected to prefill.
   *
   * @param hitProbability how likely the engine has the shared parts cached though this gateway has
   *     not sent them recently
   */
  long expectedPrefillTokens(Prompt prompt, double hitProbability, Instant now) {
    int cachedParts = 0;
    while (cachedParts < prompt.sharedPartCount()
        && isCached(prompt.prefixHash(cachedParts + 1), now)) {
      cachedParts++;
    }
    long unsharedTokens = prompt.tokensAfter(prompt.sharedPartCount());
    return unsharedTokens
        + (long)
            ((1 - hitProbability) * (double) (prompt.tokensAfter(cachedParts) - unsharedTokens));
  }

  /** Returns the fraction of the engine's time that goes to prefill. */
  double utilisation(Instant now) {
    return Math.max(plannedTokensPerSecond(now) / tokensPerSecond(), observedUtilisation(now));
  }

  /**
   * Returns how long a prompt waits before the engine starts to prefill it, in milliseconds: the
   * time to prefill this gateway's pending prompts, or the wait observed lately if that is longer.
   */
  double waitMillis(Instant now) {
    return Math.max(observedWaitMillis.valueAt(now), prefillMillis(pendingTokens));
  }

  /** Returns how long the engine takes to prefill the tokens, in milliseconds. */
  double prefillMillis(long tokens) {
    return 1e3 * (double) tokens / tokensPerSecond();
  }

  private double tokensPerSecond() {
    return rate.tokensPerSecond(sharedRate);
  }

  private boolean isCached(long prefix, Instant now) {
    Instant lastUsedAt = prefixUsedAt.get(prefix);
    return (lastUsedAt != null && now.isBefore(lastUsedAt.plus(PREFIX_CACHE_TIME)))
        || peerPrefixes.contains(prefix, PREFIX_CACHE_TIME, now);
  }

  /**
   * Returns the weight of a new gap in the moving mean, which grows with the time since the last
   * one.
   */
  private double gapWeight(Instant now) {
    double age = Math.max(0, Duration.between(observedAt, now).toNanos() / 1e9);
    return Math.max(MIN_GAP_WEIGHT, 1 - Math.exp(-age / OBSERVATION_DECAY_SECONDS));
  }

  private void updateRate(Instant now) {
    if (isReported && observedWaitMillis.valueAt(now) > MAX_WAIT_MILLIS_FOR_RATE) {
      // With a backlog an engine is sent more than it prefills, which would raise the rate.
      return;
    }
    double observedUtilisation = observedUtilisation(now);
    if (observedUtilisation >= SATURATED_UTILISATION) {
      rate.lowerWhenSaturated();
      sharedRate.lowerWhenSaturated();
    } else if (observedUtilisation >= MIN_UTILISATION_FOR_RATE) {
      double impliedRate = plannedTokensPerSecond(now) / observedUtilisation;
      rate.observe(impliedRate);
      sharedRate.observe(impliedRate);
    }
  }

  private double observedUtilisation(Instant now) {
    if (meanGapSeconds <= shortestGapSeconds) {
      return 0;
    }
    double age = Math.max(0, Duration.between(observedAt, now).toNanos() / 1e9);
    return (1 - shortestGapSeconds / meanGapSeconds) * Math.exp(-age / OBSERVATION_DECAY_SECONDS);
  }

  /**
   * Returns the prefill tokens per second that this gateway has sent recently and the others are
   * expected to send.
   */
  private double plannedTokensPerSecond(Instant now) {
    return shortWindowTokens.perSecond(now) + othersTokensPerSecond;
  }
}
