package org.cuminwell.core.directory;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.residency.Residency;

/**
 * Keeps the entry hosts and puts them in the order in which a caller should try them.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class HostDirectory {

  private final TreeMap<HostId, HostDescription> hosts = new TreeMap<>();

  /** Replaces what is known of each of the hosts. */
  public void learn(Collection<HostDescription> news) {
    news.forEach(host -> hosts.put(host.id(), host));
  }

  /** Replaces all that is known. */
  public void replace(Collection<HostDescription> news) {
    hosts.clear();
    learn(news);
  }

  /**
   * Returns the hosts that a request of this residency may enter by, nearest to {@code from} and
   * least loaded first.
   */
  public List<HostDescription> entryHosts(Residency residency, Place from) {
    return hosts.values().stream()
        .filter(host -> !host.stopping() && residency.allows(host.place().region()))
        .sorted(
            Comparator.comparingInt((HostDescription host) -> distance(from, host.place()))
                .thenComparingDouble(HostDescription::load)
                .thenComparing(HostDescription::id))
        .toList();
  }

  /** Returns every host in the order of names. */
  public List<HostDescription> all() {
    return List.copyOf(hosts.values());
  }

  /** Returns 0 within a data centre, 1 within a region and 2 between regions. */
  private static int distance(Place from, Place to) {
    if (from.equals(to)) {
      return 0;
    }
    return from.region().equals(to.region()) ? 1 : 2;
  }
}
