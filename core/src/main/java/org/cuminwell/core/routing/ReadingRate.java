package org.cuminwell.core.routing;

/**
 * Learns how fast one engine reads prompts, in tokens a second, or engines in general.
 *
 * <p>One gateway of many hears too seldom of each engine to know it; so the rate of an engine
 * starts at that of all and moves away from it with what is seen there. Invariant: the rate stays
 * between {@link #LEAST} and {@link #GREATEST}. Not thread safe: one thread owns it.
 */
final class ReadingRate {

  /** How fast an engine is taken to read until its answers tell, in tokens a second. */
  static final double FIRST = 30_000;

  private static final double LEAST = 3_000;
  private static final double GREATEST = 1_000_000;
  private static final double WEIGHT = 0.02;
  private static final double LOSS = 0.99;

  /** How many times an engine must tell its rate to count as much as all others. */
  private static final double TELLING_ALONE = 50;

  private double learnt = FIRST;
  private int told;

  /** Takes in a rate that was seen. */
  void learn(double shown) {
    learnt += WEIGHT * (Math.min(GREATEST, Math.max(LEAST, shown)) - learnt);
    told++;
  }

  /** Takes in that the engine was busy all the time, so that it reads no faster than is thought. */
  void lower() {
    learnt = Math.max(LEAST, learnt * LOSS);
    told++;
  }

  double tokensPerSecond() {
    return learnt;
  }

  /** Returns the rate, as far as it is known, and that of {@code all} engines beyond that. */
  double tokensPerSecond(ReadingRate all) {
    return (told * learnt + TELLING_ALONE * all.learnt) / (told + TELLING_ALONE);
  }
}
