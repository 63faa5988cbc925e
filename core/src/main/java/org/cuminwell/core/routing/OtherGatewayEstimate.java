package org.cuminwell.core.routing;

import java.util.stream.DoubleStream;

/**
 * Estimates the load that another gateway puts on one engine from the load that this gateway puts
 * on all engines of the region.
 *
 * <p>The more gateways share the engines, the less a few requests of this gateway at one engine say
 * about the others. So its load on the engine is combined with its mean load per engine as an
 * observation of a Poisson process with a gamma prior. Immutable and thread safe.
 *
 * @param mean this gateway's mean load per engine
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
   * Returns the expected load of another gateway on an engine where this gateway's load is {@code
   * localLoad}.
   */
  double forOtherGateway(double localLoad) {
    double prior = PRIOR_SHAPE * perRequest;
    return mean + prior > 0 ? mean * (localLoad + prior) / (mean + prior) : 0;
  }
}
