package org.cuminwell.core.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.residency.Residency;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the descriptions of the entry hosts, and returns the hosts in the order in which a caller
 * should try them.
 *
 * <p>What a host says over its own connection takes precedence over what others relay, as long as
 * that connection lasts. Invariant: the own host is never removed. Not thread safe: one thread owns
 * it.
 */
public final class HostDirectory {

  private final TreeMap<HostId, HostDescription> lastKnown = new TreeMap<>();
  private final TreeMap<HostId, HostDescription> connected = new TreeMap<>();
  private @Nullable List<HostDescription> all;
  private long changes;
  private int mostKnown;

  /** Replaces the last known descriptions of these hosts by relayed ones. */
  public void update(Collection<HostDescription> hosts) {
    hosts.forEach(host -> lastKnown.put(host.id(), host));
    recordCount();
  }

  /** Applies a relayed update: replaces descriptions and removes hosts. */
  public void update(DirectoryMessage.Hosts update) {
    update.hosts().forEach(host -> lastKnown.put(host.id(), host));
    update.removed().forEach(lastKnown::remove);
    recordCount();
  }

  /** Records the description that a connected host sent of itself. */
  public void recordConnected(HostDescription host) {
    lastKnown.put(host.id(), host);
    connected.put(host.id(), host);
    recordCount();
  }

  /**
   * Records that a host is disconnected. A host of the same data centre is then removed; others
   * keep their last relayed description.
   */
  public void recordDisconnected(HostId host, Place ownPlace) {
    HostDescription description = connected.remove(host);
    if (description != null && description.place().equals(ownPlace)) {
      lastKnown.remove(host);
    }
    recordChange();
  }

  /**
   * Returns the hosts that a request of this residency may enter by, ordered by distance from
   * {@code from}, then by load.
   */
  public List<HostDescription> entryHosts(Residency residency, Place from) {
    return all().stream()
        .filter(host -> !host.stopping() && residency.allows(host.place().region()))
        .sorted(
            Comparator.comparingInt((HostDescription host) -> distance(from, host.place()))
                .thenComparingDouble(HostDescription::load)
                .thenComparing(HostDescription::id))
        .toList();
  }

  /** Returns the description of a host, if it is known. */
  public Optional<HostDescription> find(HostId host) {
    return Optional.ofNullable(connected.get(host))
        .or(() -> Optional.ofNullable(lastKnown.get(host)));
  }

  /** Returns all hosts, ordered by name. */
  public List<HostDescription> all() {
    List<HostDescription> result = all;
    if (result == null) {
      TreeMap<HostId, HostDescription> merged = new TreeMap<>(lastKnown);
      merged.putAll(connected);
      result = List.copyOf(merged.values());
      all = result;
    }
    return result;
  }

  /**
   * Returns the largest number of hosts that were known at one time. What the hosts of a system
   * share out by their number must not grow while some of them are only stopped or cut off.
   */
  public int mostKnown() {
    return mostKnown;
  }

  /** Returns a number that grows whenever a host may have changed. */
  public long changes() {
    return changes;
  }

  private void recordChange() {
    changes++;
    all = null;
  }

  private void recordCount() {
    recordChange();
    mostKnown = Math.max(mostKnown, all().size());
  }

  /** Returns 0 within a data centre, 1 within a region and 2 between regions. */
  private static int distance(Place from, Place to) {
    if (from.equals(to)) {
      return 0;
    }
    return from.region().equals(to.region()) ? 1 : 2;
  }
}
