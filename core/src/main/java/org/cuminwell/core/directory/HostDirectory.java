package org.cuminwell.core.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.residency.Residency;

/**
 * Keeps the entry hosts and puts them in the order in which a caller should try them.
 *
 * <p>What a host tells over its own connection goes before what others tell of it, and holds as
 * long as that connection. Invariant: the own host is never forgotten. Not thread safe: one thread
 * owns it.
 */
public final class HostDirectory {

  private final TreeMap<HostId, HostDescription> lastKnown = new TreeMap<>();
  private final TreeMap<HostId, HostDescription> connected = new TreeMap<>();

  /** Replaces what is known of each of the hosts from others. */
  public void update(Collection<HostDescription> hosts) {
    hosts.forEach(host -> lastKnown.put(host.id(), host));
  }

  /** Takes in news of others: what hosts are there, and which have gone. */
  public void update(DirectoryMessage.Hosts update) {
    update(update.hosts());
    update.removed().forEach(lastKnown::remove);
  }

  /** Takes in what a host in contact tells of itself. */
  public void recordConnected(HostDescription host) {
    lastKnown.put(host.id(), host);
    connected.put(host.id(), host);
  }

  /** Takes in that a host is out of contact; of the same data centre it then counts as gone. */
  public void recordDisconnected(HostId host, Place ownPlace) {
    HostDescription description = connected.remove(host);
    if (description != null && description.place().equals(ownPlace)) {
      lastKnown.remove(host);
    }
  }

  /**
   * Returns the hosts that a request of this residency may enter by, nearest to {@code from} and
   * least loaded first.
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

  /** Returns what is known of one host. */
  public Optional<HostDescription> find(HostId host) {
    return Optional.ofNullable(connected.get(host))
        .or(() -> Optional.ofNullable(lastKnown.get(host)));
  }

  /** Returns every host in the order of names. */
  public List<HostDescription> all() {
    TreeMap<HostId, HostDescription> all = new TreeMap<>(lastKnown);
    all.putAll(connected);
    return List.copyOf(all.values());
  }

  /** Returns 0 within a data centre, 1 within a region and 2 between regions. */
  private static int distance(Place from, Place to) {
    if (from.equals(to)) {
      return 0;
    }
    return from.region().equals(to.region()) ? 1 : 2;
  }
}
