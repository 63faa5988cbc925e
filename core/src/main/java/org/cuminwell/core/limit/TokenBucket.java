package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Lets tokens through at a rate with a burst, both of which may change.
 *
 * <p>The level may fall below zero when a request settles above its estimate; then nothing more is
 * let through until the rate has made up for it. Invariant: the level never exceeds the burst, and
 * a change of rate or burst never raises it. Not thread safe: one thread owns it.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration MAX_WAIT = Duration.ofHours(1);

  private double tokensPerSecond;
  private double burstTokens;
  private double level;
  private Instant filledAt;

  private TokenBucket(double tokensPerSecond, double burstTokens, double level, Instant now) {
    this.tokensPerSecond = tokensPerSecond;
    this.burstTokens = burstTokens;
    this.level = level;
    this.filledAt = now;
  }

  /** Returns a bucket that has its whole burst. */
  public static TokenBucket full(double tokensPerSecond, double burstTokens, Instant now) {
    return new TokenBucket(tokensPerSecond, burstTokens, burstTokens, now);
  }

  /** Returns a bucket that has nothing yet, for a host that may have spent its burst before. */
  public static TokenBucket empty(double tokensPerSecond, double burstTokens, Instant now) {
    return new TokenBucket(tokensPerSecond, burstTokens, 0, now);
  }

  /** Takes the tokens if they are there, and returns whether they were. */
  public boolean tryConsume(long tokens, Instant now) {
    refill(now);
    if (level < tokens) {
      return false;
    }
    level -= tokens;
    return true;
  }

  /** Charges tokens that have been used already, or gives back with a negative count. */
  public void charge(long tokens, Instant now) {
    refill(now);
    level = Math.min(burstTokens, level - tokens);
  }

  /** Returns how long it takes until {@code tokens} are there, at most an hour. */
  public Duration timeUntil(long tokens, Instant now) {
    refill(now);
    double missing = tokens - level;
    if (missing <= 0) {
      return Duration.ZERO;
    }
    if (tokens > burstTokens || missing >= tokensPerSecond * MAX_WAIT.toSeconds()) {
      return MAX_WAIT;
    }
    return Duration.ofNanos((long) Math.ceil(missing / tokensPerSecond * NANOS_PER_SECOND));
  }

  /** Changes rate and burst from now on, and returns the tokens that no longer fit. */
  public double reconfigure(double newTokensPerSecond, double newBurstTokens, Instant now) {
    refill(now);
    tokensPerSecond = newTokensPerSecond;
    burstTokens = newBurstTokens;
    double excess = Math.max(0, level - newBurstTokens);
    level -= excess;
    return excess;
  }

  /** Returns the tokens that are there, in tokens. */
  public double level(Instant now) {
    refill(now);
    return level;
  }

  /** Returns how many tokens fit, in tokens. */
  public double burstTokens() {
    return burstTokens;
  }

  private void refill(Instant now) {
    if (!now.isAfter(filledAt)) {
      return;
    }
    double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
    level = Math.min(burstTokens, level + seconds * tokensPerSecond);
    filledAt = now;
  }
}
