package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;

/**
 * Selects the engine that is expected to prefill a prompt soonest, while bounding the time that
 * engines spend on prefill.
 *
 * <p>While an engine prefills a prompt, the responses that it is generating pause. So the prefill
 * load of an engine is kept below a fraction of its time, which is smaller for routes of a higher
 * rank number. All gateways expect the prefix cache entry of a prompt at the same engine, or, of
 * many engines, at the same one of each region, by rendezvous hashing. Of many engines a random
 * sample is compared. Each assumes that the gateways that it has not heard from through {@link
 * LoadSharing} send as much as the others, as {@link OtherGatewayEstimate} describes. Not thread
 * safe: one thread owns it.
 */
public final class EngineRouter {

  /** How much the maximum utilisation decreases with each further rank. */
  static final double UTILISATION_STEP_PER_RANK = 0.08;

  /** The rank from which on the maximum utilisation no longer decreases. */
  static final int MAX_RANK = 3;

  /** The fraction of an engine's slots that is used. */
  static final double MAX_SLOT_FRACTION = 0.95;

  private static final double SENT_WINDOW_SECONDS = PrefillLoad.LONG_WINDOW_SECONDS;

  /** The cost of full prefill utilisation; it grows with the square of the utilisation. */
  private static final double UTILISATION_COST_MILLIS = 300;

  /** The cost of one recent failure. */
  private static final double FAILURE_COST_MILLIS = 200;

  /** The largest number of engines that are all compared for each prompt. */
  static final int MAX_FEW_ENGINES = 24;

  /** How many of many engines are compared, besides those expected to have the prefix cached. */
  private static final int SAMPLE_SIZE = 12;

  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  private final Place localPlace;
  private final Router router;
  private final Map<EndpointId, PrefillLoad> loads = new HashMap<>();
  private final Map<EndpointId, Long> incarnations = new HashMap<>();
  private final PrefillRate sharedRate = new PrefillRate();
  private final DecayingSum sentTokens = new DecayingSum(SENT_WINDOW_SECONDS);
  private final DecayingSum sentTokensSquared = new DecayingSum(SENT_WINDOW_SECONDS);

  /**
   * Creates the router of a gateway at {@code localPlace}; {@code router} supplies outstanding
   * requests and recent failures.
   */
  public EngineRouter(Place localPlace, Router router) {
    this.localPlace = localPlace;
    this.router = router;
  }

  /**
   * Describes a request for which an engine is selected.
   *
   * @param rank the order in which prompts are refused when capacity is short; 0 is refused last
   * @param attempted engines at which the request has already failed
   * @param mustRun whether an engine is selected even if none has headroom, since the request has
   *     already produced a part of its response
   * @param latencyTarget the time within which the response should start
   * @param gateways how many gateways send to the engines of a region, this one included
   */
  public record Query(
      Prompt prompt,
      int rank,
      Set<EndpointId> attempted,
      boolean mustRun,
      Duration latencyTarget,
      int gateways) {}

  /** Selects the engine of the prompt. */
  public EngineChoice choose(List<Entry> candidates, Query query, Instant now) {
    candidates.forEach(this::resetIfRestarted);
    List<Entry> usable = router.usable(candidates, query.attempted(), now);
    if (usable.isEmpty()) {
      return new EngineChoice.NoEngine();
    }
    estimateOtherGateways(usable, Math.max(0, query.gateways() - 1), now);
    long prefix = query.prompt().sharedPrefixHash();
    if (usable.size() <= MAX_FEW_ENGINES) {
      Set<EndpointId> cacheOwner = Set.of(cacheOwner(candidates, prefix));
      return chooseCheapest(usable, cacheOwner, EngineCostModel.FEW_ENGINES, query, now);
    }
    Set<EndpointId> cacheOwners = cacheOwners(candidates, prefix);
    EngineCostModel model = EngineCostModel.MANY_ENGINES;
    EngineChoice choice =
        chooseCheapest(sample(usable, cacheOwners), cacheOwners, model, query, now);
    return choice instanceof EngineChoice.AllBusy
        ? chooseCheapest(usable, cacheOwners, model, query, now)
        : choice;
  }

  /** Selects the cheapest of the engines that have headroom. */
  private EngineChoice chooseCheapest(
      List<Entry> engines,
      Set<EndpointId> cacheOwners,
      EngineCostModel model,
      Query query,
      Instant now) {
    return engines.stream()
        .map(engine -> evaluate(engine, cacheOwners, model, query, now))
        .filter(candidate -> candidate.hasHeadroom() || query.mustRun())
        .min(Candidate.order(query.prompt().sharedPrefixHash()))
        .<EngineChoice>map(
            candidate -> new EngineChoice.Chosen(candidate.entry(), candidate.prefillTokens()))
        .orElseGet(
            () ->
                new EngineChoice.AllBusy(RETRY_AFTER, model.equals(EngineCostModel.MANY_ENGINES)));
  }

  /**
   * Returns a random sample of the engines, with those that are expected to have the prefix cached.
   * Gateways whose picture of the engines is the same, and equally old, choose different ones so.
   */
  private List<Entry> sample(List<Entry> engines, Set<EndpointId> cacheOwners) {
    List<Entry> sample = router.sample(engines, SAMPLE_SIZE);
    engines.stream()
        .filter(engine -> cacheOwners.contains(engine.announcement().endpoint()))
        .filter(engine -> !sample.contains(engine))
        .forEach(sample::add);
    return sample;
  }

  /**
   * Records a prompt that was sent to the engine, which is expected to prefill {@code
   * prefillTokens} of it.
   */
  public void recordSent(EndpointId engine, Prompt prompt, long prefillTokens, Instant now) {
    load(engine).recordSent(prompt, prefillTokens, now);
    router.loadSharing().recordSent(engine, load(engine), prompt, now);
    sentTokens.add((double) prefillTokens, now);
    sentTokensSquared.add((double) prefillTokens * (double) prefillTokens, now);
  }

  /** Records that an engine has prefilled a prompt, and how long its response took to start. */
  public void recordPrefillCompleted(
      EndpointId engine, long prefillTokens, Duration took, Instant now) {
    load(engine).releasePending(prefillTokens);
    load(engine).observeStart(prefillTokens, took, now);
  }

  /**
   * Subtracts a prompt that need not be prefilled any more from the pending prefill of the engine.
   */
  public void releasePendingPrefill(EndpointId engine, long prefillTokens) {
    load(engine).releasePending(prefillTokens);
  }

  /**
   * Records the pace of a response.
   *
   * @param meanGap the mean time between its events
   */
  public void recordEventGap(EndpointId engine, Duration meanGap, Instant now) {
    load(engine).observeEventGap(meanGap, now);
  }

  /**
   * Returns how many tokens of the prompt the engine must prefill, judging only by the prompts that
   * this gateway has sent.
   */
  long prefillTokens(Entry engine, Prompt prompt, Instant now) {
    return load(engine.announcement().endpoint()).expectedPrefillTokens(prompt, 0, now);
  }

  /** Removes the state of all engines but those given. */
  public void retainEngines(Set<EndpointId> present) {
    loads.keySet().retainAll(present);
    router.loadSharing().retainEngines(present);
    incarnations.keySet().retainAll(present);
  }

  private record Candidate(
      Entry entry, long prefillTokens, boolean hasHeadroom, double costMillis) {

    /**
     * Orders by cost. Equal costs are ordered by rendezvous hash, so that all gateways agree on the
     * order for a prefix.
     */
    static Comparator<Candidate> order(long prefix) {
      return Comparator.comparingDouble(Candidate::costMillis)
          .thenComparing(
              Comparator.comparingLong(
                      (Candidate candidate) -> rendezvousScore(candidate.entry(), prefix))
                  .reversed());
    }
  }

  /**
   * Estimates the load that the other gateways of this region put on each engine, from this
   * gateway's own load on all engines of the region.
   */
  private void estimateOtherGateways(List<Entry> engines, int others, Instant now) {
    engines.stream()
        .collect(Collectors.groupingBy(e -> e.announcement().place().region()))
        .values()
        .forEach(region -> estimateOtherGatewaysInRegion(region, others, now));
  }

  private void estimateOtherGatewaysInRegion(List<Entry> engines, int others, Instant now) {
    List<PeerLoads.Sum> heard =
        engines.stream()
            .map(e -> router.loadSharing().reported(e.announcement().endpoint(), now))
            .toList();
    double observed = 1 + heard.getFirst().lasting().gateways();
    var tokensPerSecond =
        OtherGatewayEstimate.of(
            IntStream.range(0, engines.size())
                .mapToDouble(
                    i ->
                        (load(engines.get(i)).sentPerSecond(now)
                                + heard.get(i).lasting().prefillTokensPerSecond())
                            / observed),
            weightedMeanPrefillTokens(now) / SENT_WINDOW_SECONDS);
    var running =
        OtherGatewayEstimate.of(
            IntStream.range(0, engines.size())
                .mapToDouble(
                    i ->
                        (router.outstanding(engines.get(i)) + heard.get(i).lasting().running())
                            / observed),
            1);
    for (int i = 0; i < engines.size(); i++) {
      PrefillLoad load = load(engines.get(i));
      PeerLoads.Sum sum = heard.get(i);
      load.setReported(
          sum.isHeard(), router.loadSharing().prefixes(engines.get(i).announcement().endpoint()));
      load.setOtherGateways(
          tokensPerSecond.forOtherGateways(
              others,
              load.sentPerSecond(now),
              sum.recent().gateways(),
              sum.recent().prefillTokensPerSecond()),
          running.forOtherGateways(
              others,
              router.outstanding(engines.get(i)),
              sum.recent().gateways(),
              sum.recent().running()));
    }
  }

  /**
   * Returns the mean prefill tokens of a prompt, weighted by these tokens so that large prompts
   * dominate.
   */
  private double weightedMeanPrefillTokens(Instant now) {
    double tokens = sentTokens.valueAt(now);
    return tokens > 0 ? sentTokensSquared.valueAt(now) / tokens : 0;
  }

  private Candidate evaluate(
      Entry entry, Set<EndpointId> cacheOwners, EngineCostModel model, Query query, Instant now) {
    EndpointId id = entry.announcement().endpoint();
    PrefillLoad load = load(entry);
    long prefillTokens =
        load.expectedPrefillTokens(
            query.prompt(), cacheOwners.contains(id) ? model.cacheHitProbability() : 0, now);
    double prefillMillis = load.prefillMillis(prefillTokens);
    double utilisation = load.utilisation(now);
    double running = router.estimatedRequests(entry, now) + load.othersRunning();
    boolean isInLocalRegion = entry.announcement().place().region().equals(localPlace.region());
    double waitMillis = load.waitMillis(now) + (isInLocalRegion ? 0 : model.remoteRegionMillis());
    boolean hasHeadroom =
        utilisation < maxUtilisation(model, query.rank())
            && waitMillis < model.maxWaitFraction() * (double) query.latencyTarget().toMillis()
            && running < MAX_SLOT_FRACTION * entry.announcement().capacity();
    double costMillis =
        waitMillis
            + prefillMillis
            + model.pauseWeight() * running * prefillMillis
            + UTILISATION_COST_MILLIS * utilisation * utilisation
            + FAILURE_COST_MILLIS * router.recentFailures(entry, now);
    return new Candidate(entry, prefillTokens, hasHeadroom, costMillis);
  }

  private static double maxUtilisation(EngineCostModel model, int rank) {
    return model.maxUtilisation() - UTILISATION_STEP_PER_RANK * Math.min(rank, MAX_RANK);
  }

  /**
   * Returns the engine at which all gateways of this region expect the prefix to be cached. It is
   * an engine of this region if there is one.
   */
  private EndpointId cacheOwner(List<Entry> candidates, long prefix) {
    Comparator<Entry> byHash = Comparator.comparingLong(e -> rendezvousScore(e, prefix));
    Comparator<Entry> order =
        Comparator.comparing(
                (Entry e) -> e.announcement().place().region().equals(localPlace.region()))
            .thenComparing(byHash);
    return candidates.stream().max(order).orElseThrow().announcement().endpoint();
  }

  /** Returns for each region the engine at which all gateways expect the prefix to be cached. */
  private static Set<EndpointId> cacheOwners(List<Entry> candidates, long prefix) {
    Map<RegionId, Entry> owners = new HashMap<>();
    for (Entry candidate : candidates) {
      owners.merge(
          candidate.announcement().place().region(),
          candidate,
          (a, b) -> rendezvousScore(a, prefix) >= rendezvousScore(b, prefix) ? a : b);
    }
    return owners.values().stream()
        .map(owner -> owner.announcement().endpoint())
        .collect(Collectors.toSet());
  }

  private static long rendezvousScore(Entry entry, long prefix) {
    return RendezvousHash.score(prefix, entry.announcement().endpoint());
  }

  private void resetIfRestarted(Entry entry) {
    Announcement announcement = entry.announcement();
    Long previousIncarnation =
        incarnations.put(announcement.endpoint(), announcement.incarnation());
    if (previousIncarnation != null && previousIncarnation != announcement.incarnation()) {
      load(announcement.endpoint()).reset();
    }
  }

  private PrefillLoad load(Entry engine) {
    return load(engine.announcement().endpoint());
  }

  private PrefillLoad load(EndpointId engine) {
    return loads.computeIfAbsent(engine, _ -> new PrefillLoad(sharedRate));
  }
}
