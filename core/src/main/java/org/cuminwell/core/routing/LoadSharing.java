package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminwell.core.membership.LoadDigest;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;

/**
 * Exchanges the loads on endpoints between the gateways of a region.
 *
 * <p>It is disabled until {@link #setRegion} reports more than one data centre; it then sends
 * nothing and knows nothing of others. The messages per second of a gateway are bounded whatever
 * the number of gateways. Not thread safe: one thread owns it.
 */
public final class LoadSharing {

  /** How often a digest is sent. */
  static final Duration SEND_PERIOD = Duration.ofMillis(200);

  /**
   * The number of gateways that one digest is sent to; the next one goes to the following ones.
   * With 5, requests were refused at 60% of capacity with 300 gateways.
   */
  static final int RECIPIENTS = 10;

  /** The number of prefixes that one digest lists at most. */
  private static final int MAX_PREFIXES = 64;

  private final PeerLoads peerLoads = new PeerLoads();
  private final Map<EndpointId, PrefillLoad> engines = new HashMap<>();
  private final Map<EndpointId, Integer> running = new HashMap<>();
  private final Map<EndpointId, PeerPrefixes> peerPrefixes = new HashMap<>();
  private final ArrayDeque<SentPrefix> sentPrefixes = new ArrayDeque<>();
  private boolean isEnabled;
  private int otherGateways;
  private long lastNumber;
  private Instant sentAt = Instant.MIN;
  private Duration rotation = SEND_PERIOD;
  private Optional<HostId> lastRecipient = Optional.empty();

  private record SentPrefix(EndpointId engine, long hash, Instant at) {}

  /** Names the gateways that a digest is sent to. Immutable and thread safe. */
  public record Due(List<HostId> recipients, LoadDigest digest) {}

  /** Creates a disabled exchange. */
  LoadSharing() {}

  /**
   * Sets the size of this gateway's region.
   *
   * @param gateways the gateways that send to the endpoints of the region, this one included
   */
  public void setRegion(int dataCentres, int gateways) {
    isEnabled = dataCentres > 1;
    otherGateways = Math.max(0, gateways - 1);
  }

  /** Returns the digest to send now and its recipients among {@code gateways}, if one is due. */
  public Optional<Due> takeDue(List<HostId> gateways, Instant now) {
    boolean isDue =
        sentAt.equals(Instant.MIN)
            || now.isBefore(sentAt)
            || !now.isBefore(sentAt.plus(SEND_PERIOD));
    if (!isEnabled || gateways.isEmpty() || !isDue) {
      return Optional.empty();
    }
    sentAt = now;
    int rounds = (gateways.size() + RECIPIENTS - 1) / RECIPIENTS;
    rotation = SEND_PERIOD.multipliedBy(rounds + 1);
    trimSentPrefixes(now);
    peerPrefixes.values().removeIf(p -> p.isOutdated(PrefillLoad.PREFIX_CACHE_TIME, now));
    return Optional.of(new Due(nextRecipients(gateways), digest(now)));
  }

  /** Records a digest that arrived from a gateway of the region. */
  public void onDigest(HostId gateway, LoadDigest digest, Instant now) {
    if (!peerLoads.record(gateway, digest, now)) {
      return;
    }
    for (LoadDigest.Load load : digest.loads()) {
      for (long prefix : load.prefixes()) {
        prefixes(load.endpoint()).record(prefix, now.minus(digest.prefixMaxAge()));
      }
    }
  }

  /** Removes what a gateway reported, since its connection has ended. */
  public void onDisconnected(HostId gateway) {
    peerLoads.remove(gateway);
  }

  /** Returns whether loads are exchanged. */
  boolean isEnabled() {
    return isEnabled;
  }

  /** Returns the number of gateways that send to the endpoints of the region, without this one. */
  int otherGateways() {
    return otherGateways;
  }

  /** Returns what other gateways have reported for the endpoint; zero if disabled. */
  PeerLoads.Sum reported(EndpointId endpoint, Instant now) {
    return isEnabled ? peerLoads.at(endpoint, now) : PeerLoads.Sum.NONE;
  }

  /** Includes the load of an engine and the prompt that was sent to it in the digests. */
  void recordSent(EndpointId engine, PrefillLoad load, Prompt prompt, Instant now) {
    if (isEnabled) {
      engines.put(engine, load);
      for (int count = 1; count <= prompt.sharedPartCount(); count++) {
        sentPrefixes.add(new SentPrefix(engine, prompt.prefixHash(count), now));
      }
      trimSentPrefixes(now);
    }
  }

  /** Removes the state of all engines but those given. */
  void retainEngines(Set<EndpointId> present) {
    engines.keySet().retainAll(present);
    peerPrefixes.keySet().retainAll(present);
  }

  /** Returns the prefixes that other gateways have sent to the engine. */
  PeerPrefixes prefixes(EndpointId engine) {
    return peerPrefixes.computeIfAbsent(engine, _ -> new PeerPrefixes());
  }

  /** Sets the number of this gateway's requests that run at the endpoint. */
  void setRunning(EndpointId endpoint, int requests) {
    if (requests > 0) {
      running.put(endpoint, requests);
    } else {
      running.remove(endpoint);
    }
  }

  private List<HostId> nextRecipients(List<HostId> gateways) {
    int first =
        lastRecipient
            .map(last -> indexAfter(gateways, last))
            .filter(i -> i < gateways.size())
            .orElse(0);
    List<HostId> recipients = new ArrayList<>();
    for (int i = 0; i < Math.min(RECIPIENTS, gateways.size()); i++) {
      recipients.add(gateways.get((first + i) % gateways.size()));
    }
    lastRecipient = Optional.of(recipients.getLast());
    return recipients;
  }

  /** Returns the index of the first gateway whose name follows {@code last}. */
  private static int indexAfter(List<HostId> gateways, HostId last) {
    int index = 0;
    while (index < gateways.size() && gateways.get(index).compareTo(last) <= 0) {
      index++;
    }
    return index;
  }

  private LoadDigest digest(Instant now) {
    engines.values().removeIf(load -> isIdle(load, now));
    TreeMap<EndpointId, LoadDigest.Load> loads = new TreeMap<>();
    Map<EndpointId, Set<Long>> prefixes = new HashMap<>();
    sentPrefixes.forEach(
        sent -> prefixes.computeIfAbsent(sent.engine(), _ -> new TreeSet<>()).add(sent.hash()));
    running.forEach(
        (id, requests) -> loads.put(id, new LoadDigest.Load(id, requests, 0, List.of())));
    engines.forEach(
        (id, load) ->
            loads.put(
                id,
                new LoadDigest.Load(
                    id,
                    running.getOrDefault(id, 0),
                    Math.round(load.sentPerSecond(now)),
                    List.copyOf(prefixes.getOrDefault(id, Set.of())))));
    return new LoadDigest(++lastNumber, rotation, List.copyOf(loads.values()));
  }

  /** Removes the prefixes that every recipient has been sent, and the oldest of too many. */
  private void trimSentPrefixes(Instant now) {
    Instant from = now.minus(rotation);
    while (!sentPrefixes.isEmpty()
        && (sentPrefixes.size() > MAX_PREFIXES || sentPrefixes.getFirst().at().isBefore(from))) {
      sentPrefixes.removeFirst();
    }
  }

  private static boolean isIdle(PrefillLoad load, Instant now) {
    return load.sentPerSecond(now) < 1;
  }
}
