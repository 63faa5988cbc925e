package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the use of tokens to a rate and a burst, both of which may change.
 *
 * <p>The level may fall below zero when a request settles above its estimate; then nothing is
 * admitted until the rate has made up for it. Invariant: the level never exceeds the burst, and a
 * change of rate or burst never raises it. Not thread safe: one thread owns it.
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

  /** Returns a bucket that holds its whole burst. */
  public static TokenBucket full(double tokensPerSecond, double burstTokens, Instant now) {
    return new TokenBucket(tokensPerSecond, burstTokens, burstTokens, now);
  }

  /** Returns an empty bucket, for a host that may have spent its burst before a restart. */
  public static TokenBucket empty(double tokensPerSecond, double burstTokens, Instant now) {
    return new TokenBucket(tokensPerSecond, burstTokens, 0, now);
  }

  /** Consumes the tokens if they are available, and returns whether they were. */
  public boolean tryConsume(long tokens, Instant now) {
    refill(now);
    if (level < tokens) {
      return false;
    }
    level -= tokens;
    return true;
  }

  /** Consumes tokens that were already used, or returns tokens if the number is negative. */
  public void charge(long tokens, Instant now) {
    refill(now);
    level = Math.min(burstTokens, level - tokens);
  }

  /** Returns how long until {@code tokens} are available, at most an hour. */
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

  /** Sets rate and burst from {@code now} on, and returns the tokens that no longer fit. */
  public double reconfigure(double newTokensPerSecond, double newBurstTokens, Instant now) {
    refill(now);
    tokensPerSecond = newTokensPerSecond;
    burstTokens = newBurstTokens;
    double excess = Math.max(0, level - newBurstTokens);
    level -= excess;
    return excess;
  }

  /** Returns the available tokens; negative if more were charged than were available. */
  public double level(Instant now) {
    refill(now);
    return level;
  }

  /** Returns how many tokens the bucket can hold. */
  public double burstTokens() {
    return burstTokens;
  }

  /** Adds the tokens that the rate has brought since the last call. */
  private void refill(Instant now) {
    if (!now.isAfter(filledAt)) {
      return;
    }
    double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
    level = Math.min(burstTokens, level + seconds * tokensPerSecond);
    filledAt = now;
  }
}
