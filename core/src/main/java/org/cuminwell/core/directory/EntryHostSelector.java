package org.cuminwell.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;

/**
 * Selects the entry hosts that a caller should use, by the caller's place alone.
 *
 * <p>A caller stays in its region as long as a host there is connected, even one that is stopping
 * and serves only for its grace period. Otherwise it is sent to the regions that every region-bound
 * route allows, so that bound requests are not read in other regions. Stateless and thread safe.
 */
public final class EntryHostSelector {

  private EntryHostSelector() {}

  /**
   * Returns the hosts to use, those of the caller's data centre first.
   *
   * @param connectedHosts the hosts that are connected now
   */
  public static List<HostDescription> selectHosts(
      Place caller, Collection<HostDescription> connectedHosts, Forwarding forwarding) {
    Predicate<HostDescription> isInSameRegion =
        host -> host.place().region().equals(caller.region());
    Predicate<HostDescription> isAccepting = host -> !host.stopping();
    Set<RegionId> commonRegions = commonAllowedRegions(forwarding);
    Predicate<HostDescription> isInCommonRegion =
        host -> commonRegions.contains(host.place().region());
    for (Predicate<HostDescription> condition :
        List.of(
            isInSameRegion.and(isAccepting),
            isInSameRegion,
            isInCommonRegion.and(isAccepting),
            isAccepting)) {
      List<HostDescription> hosts = connectedHosts.stream().filter(condition).toList();
      if (!hosts.isEmpty()) {
        return nearestFirst(hosts, caller);
      }
    }
    return List.of();
  }

  /** Returns the regions that every region-bound route allows. */
  private static Set<RegionId> commonAllowedRegions(Forwarding forwarding) {
    List<Set<RegionId>> allowedRegions =
        forwarding.routes().values().stream()
            .map(ForwardRoute::boundTo)
            .filter(bound -> !bound.isEmpty())
            .toList();
    if (allowedRegions.isEmpty()) {
      return Set.of();
    }
    Set<RegionId> common = new HashSet<>(allowedRegions.getFirst());
    allowedRegions.forEach(common::retainAll);
    return common;
  }

  private static List<HostDescription> nearestFirst(List<HostDescription> hosts, Place caller) {
    List<HostDescription> sorted = new ArrayList<>(hosts);
    sorted.sort(
        Comparator.comparing((HostDescription host) -> !host.place().equals(caller))
            .thenComparing(HostDescription::id));
    return sorted;
  }
}
