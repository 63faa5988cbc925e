package org.cuminwell.core.routing;

import java.util.stream.DoubleStream;

/**
 * Estimates the load that other gateways put on one engine from the load that this gateway and
 * those that it has heard from put on all engines of the region.
 *
 * <p>The more gateways share the engines, the less a few requests of this gateway at one engine say
 * about the others. So the load of the observed gateways on the engine is combined with their mean
 * load per engine as an observation of a Poisson process with a gamma prior. If no other gateway
 * was heard from, only this one is observed. Immutable and thread safe.
 *
 * @param mean the mean load per engine and observed gateway
 * @param perRequest the load of one request
 */
record OtherGatewayEstimate(double mean, double perRequest) {

  /**
   * The shape of the gamma prior: the inverse of the squared relative deviation assumed between
   * engines.
   */
  private static final double PRIOR_SHAPE = 4;

  /** Creates an estimate from this gateway's load on each engine of a region. */
  static OtherGatewayEstimate of(DoubleStream localLoads, double perRequest) {
    return new OtherGatewayEstimate(localLoads.average().orElse(0), perRequest);
  }

  /**
   * Returns the expected load of {@code others} gateways on an engine.
   *
   * @param localLoad this gateway's load on the engine
   * @param heard how many other gateways were heard from, as a sum of weights
   * @param heardLoad their load on the engine, with the same weights
   */
  double forOtherGateways(double others, double localLoad, double heard, double heardLoad) {
    double observed = 1 + heard;
    double prior = PRIOR_SHAPE * perRequest;
    double perGateway =
        mean + prior > 0 ? mean * (localLoad + heardLoad + prior) / (observed * mean + prior) : 0;
    return heardLoad + Math.max(0, others - heard) * perGateway;
  }
}
