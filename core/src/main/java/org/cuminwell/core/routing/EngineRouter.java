package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.Place;

/**
 * Chooses the engine that reads a prompt soonest, and keeps engines from reading all the time.
 *
 * <p>While an engine reads, the answers that it is generating wait. So it gets no more prompts than
 * take a part of its time, less for routes that give way to others. Gateways don't tell each other
 * what they send: for each prefix all of them take the same engine to have kept it, by rendezvous
 * hashing, and each takes the others of its region to send as much as itself, as {@link
 * Extrapolation} says. Not thread safe: one thread owns it.
 */
public final class EngineRouter {

  /** The part of an engine's time that prompts of the first rank may take. */
  static final double MAX_UTILISATION = 0.8;

  /** How much less of it each later rank may take. */
  static final double RANK_STEP = 0.08;

  /** The last rank that may take less than the one before it. */
  static final int LAST_RANK = 3;

  /** The part of a request's latency target in which an engine must have read what comes before. */
  static final double MAX_OF_TARGET = 0.8;

  /** The part of an engine's slots that is used. */
  static final double MAX_SLOTS = 0.95;

  /** How much sooner another region must read a prompt, the way there and back included. */
  static final double AWAY_MILLIS = 150;

  /** How likely an engine has kept a prefix that all gateways would send to it. */
  private static final double KEEPER_KEEPS = 0.7;

  private static final double SENT_WINDOW_SECONDS = ReadingLoad.LONG_WINDOW_SECONDS;
  private static final double BUSY_MILLIS = 300;
  private static final double FAILURE_MILLIS = 200;
  private static final Duration RETRY_AFTER = Duration.ofMillis(300);

  private final Place here;
  private final Router router;
  private final Map<EndpointId, ReadingLoad> loads = new HashMap<>();
  private final Map<EndpointId, Long> incarnations = new HashMap<>();
  private final ReadingRate rate = new ReadingRate();
  private final FadingSum sentTokens = new FadingSum(SENT_WINDOW_SECONDS);
  private final FadingSum sentSquares = new FadingSum(SENT_WINDOW_SECONDS);

  /** Makes the router of a gateway at {@code here}; {@code router} knows what fails. */
  public EngineRouter(Place here, Router router) {
    this.here = here;
    this.router = router;
  }

  /**
   * Holds what is asked of the choice.
   *
   * @param rank the order in which prompts give way when there is too little room; 0 goes first
   * @param tried engines that the request has failed at already
   * @param mustRun whether the request goes on somewhere however busy the engines are
   * @param target the time within which the answer should begin
   * @param hosts how many gateways send to the engines of a region
   */
  public record Query(
      Prompt prompt,
      int rank,
      Set<EndpointId> tried,
      boolean mustRun,
      Duration target,
      int hosts) {}

  /** Returns where the prompt goes. */
  public EngineChoice choose(List<Entry> candidates, Query query, Instant now) {
    candidates.forEach(this::meet);
    List<Entry> usable = router.usable(candidates, query.tried(), now);
    if (usable.isEmpty()) {
      return new EngineChoice.NoneThere();
    }
    expectOthers(usable, Math.max(0, query.hosts() - 1), now);
    long prefix = query.prompt().sharedPrefix();
    EndpointId keeper = keeper(candidates, prefix);
    List<Option> options = usable.stream().map(e -> option(e, keeper, query, now)).toList();
    return options.stream()
        .filter(option -> option.hasRoom() || query.mustRun())
        .min(Option.order(prefix))
        .<EngineChoice>map(option -> new EngineChoice.Chosen(option.entry(), option.toRead()))
        .orElseGet(() -> new EngineChoice.AllBusy(RETRY_AFTER));
  }

  /** Counts a prompt that was sent, of which the engine is expected to read {@code toRead}. */
  public void sent(EndpointId engine, Prompt prompt, long toRead, Instant now) {
    load(engine).sent(prompt, toRead, now);
    sentTokens.add((double) toRead, now);
    sentSquares.add((double) toRead * (double) toRead, now);
  }

  /** Takes in how long an answer took to begin, and that its prompt was read. */
  public void began(EndpointId engine, long toRead, Duration took, Instant now) {
    load(engine).read(toRead);
    load(engine).began(toRead, took, now);
  }

  /** Counts a prompt that needs not be read any more. */
  public void read(EndpointId engine, long toRead) {
    load(engine).read(toRead);
  }

  /**
   * Takes in how fast events of an answer came.
   *
   * @param pause the mean time between them
   */
  public void observe(EndpointId engine, Duration pause, Instant now) {
    load(engine).observe(pause, now);
  }

  /** Returns how many tokens of the prompt the engine must read, as far as this gateway knows. */
  long toRead(Entry engine, Prompt prompt, Instant now) {
    return load(engine.announcement().endpoint()).toRead(prompt, 0, now);
  }

  /** Forgets engines that are not there any more. */
  public void keepOnly(Set<EndpointId> there) {
    loads.keySet().retainAll(there);
    incarnations.keySet().retainAll(there);
  }

  private record Option(Entry entry, long toRead, boolean hasRoom, double cost) {

    /** All gateways take engines that cost the same in the same order for a prefix. */
    static Comparator<Option> order(long prefix) {
      return Comparator.comparingDouble(Option::cost)
          .thenComparing(
              Comparator.comparingLong((Option o) -> score(o.entry(), prefix)).reversed());
    }
  }

  /** Takes the other gateways of this region to do what this one does, spread more evenly. */
  private void expectOthers(List<Entry> engines, int others, Instant now) {
    engines.stream()
        .collect(Collectors.groupingBy(e -> e.announcement().place().region()))
        .values()
        .forEach(region -> expectOthersIn(region, others, now));
  }

  private void expectOthersIn(List<Entry> engines, int others, Instant now) {
    var sent =
        Extrapolation.of(
            engines.stream().mapToDouble(e -> load(e).sentPerSecond(now)),
            promptTokens(now) / SENT_WINDOW_SECONDS);
    var held = Extrapolation.of(engines.stream().mapToDouble(router::outstanding), 1);
    for (Entry engine : engines) {
      ReadingLoad load = load(engine);
      load.expectOthers(
          others * sent.ofAnother(load.sentPerSecond(now)),
          others * held.ofAnother(router.outstanding(engine)));
    }
  }

  /** Returns how much an engine reads for one prompt, with large ones weighing most. */
  private double promptTokens(Instant now) {
    double tokens = sentTokens.at(now);
    return tokens > 0 ? sentSquares.at(now) / tokens : 0;
  }

  private Option option(Entry entry, EndpointId keeper, Query query, Instant now) {
    EndpointId id = entry.announcement().endpoint();
    ReadingLoad load = load(entry);
    long toRead = load.toRead(query.prompt(), id.equals(keeper) ? KEEPER_KEEPS : 0, now);
    double utilisation = load.utilisation(now);
    double running = router.requests(entry, now) + load.othersRunning();
    boolean isNear = entry.announcement().place().region().equals(here.region());
    double waits = load.waitMillis(now) + (isNear ? 0 : AWAY_MILLIS);
    boolean hasRoom =
        utilisation < limit(query.rank())
            && waits < MAX_OF_TARGET * (double) query.target().toMillis()
            && running < MAX_SLOTS * entry.announcement().capacity();
    double cost =
        waits
            + load.millisToRead(toRead)
            + BUSY_MILLIS * utilisation * utilisation
            + FAILURE_MILLIS * router.failures(entry, now);
    return new Option(entry, toRead, hasRoom, cost);
  }

  private static double limit(int rank) {
    return MAX_UTILISATION - RANK_STEP * Math.min(rank, LAST_RANK);
  }

  /** Returns the engine of this region that all its gateways take to have kept the prefix. */
  private EndpointId keeper(List<Entry> candidates, long prefix) {
    Comparator<Entry> byHash = Comparator.comparingLong(e -> score(e, prefix));
    Comparator<Entry> order =
        Comparator.comparing((Entry e) -> e.announcement().place().region().equals(here.region()))
            .thenComparing(byHash);
    return candidates.stream().max(order).orElseThrow().announcement().endpoint();
  }

  private static long score(Entry entry, long prefix) {
    long mixed = (prefix * 0x9E3779B97F4A7C15L) ^ entry.announcement().endpoint().hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  private void meet(Entry entry) {
    Announcement news = entry.announcement();
    Long before = incarnations.put(news.endpoint(), news.incarnation());
    if (before != null && before != news.incarnation()) {
      load(news.endpoint()).restarted();
    }
  }

  private ReadingLoad load(Entry engine) {
    return load(engine.announcement().endpoint());
  }

  private ReadingLoad load(EndpointId engine) {
    return loads.computeIfAbsent(engine, _ -> new ReadingLoad(rate));
  }
}
