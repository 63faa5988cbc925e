package org.cuminwell.core.routing;

import java.util.stream.DoubleStream;

/**
 * Estimates what another gateway does at one engine by what this gateway does at all of a region.
 *
 * <p>The more gateways share the engines, the less a few requests at one of them say of the others.
 * So what this gateway did there counts against what it did on average at each engine, as an
 * observation of a Poisson process against a gamma prior. Immutable and thread safe.
 *
 * @param mean what this gateway did at each engine on average
 * @param one what one request does
 */
record Extrapolation(double mean, double one) {

  /** The inverse of the square of how much engines are taken to differ, relative to the mean. */
  private static final double PRIOR_SHAPE = 4;

  /** Makes an estimate by what this gateway did at each engine of a region. */
  static Extrapolation of(DoubleStream atEngines, double one) {
    return new Extrapolation(atEngines.average().orElse(0), one);
  }

  /** Returns what another gateway is expected to do where this one did {@code own}. */
  double ofAnother(double own) {
    double prior = PRIOR_SHAPE * one;
    return mean + prior > 0 ? mean * (own + prior) / (mean + prior) : 0;
  }
}
