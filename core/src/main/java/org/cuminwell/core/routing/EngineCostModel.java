package org.cuminwell.core.routing;

/**
 * Holds the weights by which engines are compared for a prompt. Immutable and thread safe.
 *
 * @param cacheHitProbability the assumed probability that the engine to which all gateways map a
 *     prefix has it in its cache, between 0 and 1
 * @param remoteRegionMillis the cost of sending a prompt to another region, in milliseconds
 * @param maxUtilisation the fraction of an engine's time that prefill may take for prompts of rank
 *     0
 * @param maxWaitFraction the fraction of a request's latency target within which an engine must
 *     have finished the prefill of earlier prompts
 * @param pauseWeight the cost of pausing one stream of the same engine during prefill, as a
 *     fraction of the time of the pause
 */
record EngineCostModel(
    double cacheHitProbability,
    double remoteRegionMillis,
    double maxUtilisation,
    double maxWaitFraction,
    double pauseWeight) {

  /** Compares few engines, each of which serves a large part of the requests of every gateway. */
  static final EngineCostModel FEW_ENGINES = new EngineCostModel(0.7, 150, 0.8, 0.8, 0);

  /**
   * Compares many engines. With these, prompts find their prefix at one engine more often, another
   * region costs the round trips of a new connection, and a prompt that would pause many streams
   * can be sent elsewhere. An engine may be filled further, since the sample seldom holds the least
   * loaded one.
   */
  static final EngineCostModel MANY_ENGINES = new EngineCostModel(0.95, 230, 0.88, 0.8, 0.12);
}
