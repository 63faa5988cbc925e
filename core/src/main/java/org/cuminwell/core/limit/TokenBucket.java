package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.cuminwell.core.model.TokenLimit;

/**
 * Lets tokens through at a rate with a burst.
 *
 * <p>The level may fall below zero when a request settles above its estimate; then nothing more is
 * let through until the rate has made up for it. Invariant: the level never exceeds the burst. Not
 * thread safe: one thread owns it.
 */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private TokenLimit limit;
  private double level;
  private Instant filledAt;

  private TokenBucket(TokenLimit limit, double level, Instant now) {
    this.limit = limit;
    this.level = level;
    this.filledAt = now;
  }

  /** Returns a bucket that has its whole burst. */
  public static TokenBucket full(TokenLimit limit, Instant now) {
    return new TokenBucket(limit, limit.burstTokens(), now);
  }

  /** Returns a bucket that has nothing yet, for a host that may have spent its burst before. */
  public static TokenBucket empty(TokenLimit limit, Instant now) {
    return new TokenBucket(limit, 0, now);
  }

  /** Takes the tokens if they are there, and returns whether they were. */
  public boolean tryTake(long tokens, Instant now) {
    fill(now);
    if (level < tokens) {
      return false;
    }
    level -= tokens;
    return true;
  }

  /** Charges tokens that have been used already, or gives back with a negative count. */
  public void charge(long tokens, Instant now) {
    fill(now);
    level = Math.min((double) limit.burstTokens(), level - tokens);
  }

  /** Returns how long it takes until {@code tokens} are there. */
  public Duration timeUntil(long tokens, Instant now) {
    fill(now);
    double missing = Math.min(tokens, limit.burstTokens()) - level;
    if (missing <= 0) {
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) Math.ceil(missing / limit.tokensPerSecond() * NANOS_PER_SECOND));
  }

  /** Changes rate and burst from now on. */
  public void change(TokenLimit newLimit, Instant now) {
    fill(now);
    limit = newLimit;
    level = Math.min(level, (double) newLimit.burstTokens());
  }

  /** Returns the tokens that are there, in tokens. */
  public double level(Instant now) {
    fill(now);
    return level;
  }

  private void fill(Instant now) {
    if (!now.isAfter(filledAt)) {
      return;
    }
    double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
    level = Math.min((double) limit.burstTokens(), level + seconds * limit.tokensPerSecond());
    filledAt = now;
  }
}
