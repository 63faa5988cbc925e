package org.cuminwell.core.forward;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.VersionId;

/**
 * Knows which versions of each service this gateway may use without having missed an order about
 * them.
 *
 * <p>A version that is new here may be one that an order bounds, and that order may not have come.
 * So it counts as known only once every change that was committed before it was first heard of is
 * in force here. The only version of a service needs no such wait. Not thread safe: the thread of
 * its {@link Forwarder} owns it.
 */
final class KnownVersions {

  private final Map<String, Map<VersionId, Instant>> firstHeard = new HashMap<>();

  /** Takes in the endpoints of a service, and forgets versions that none of them has. */
  void hear(String service, Collection<Entry> entries, Instant now) {
    Set<VersionId> present = new HashSet<>();
    entries.forEach(entry -> present.add(entry.announcement().version()));
    Map<VersionId, Instant> versions = firstHeard.computeIfAbsent(service, _ -> new HashMap<>());
    versions.keySet().retainAll(present);
    present.forEach(version -> versions.putIfAbsent(version, now));
  }

  /**
   * Returns whether the endpoint's version may be used.
   *
   * @param currentAt the moment before which every change committed anywhere is in force here
   */
  boolean isKnown(String service, Entry entry, Instant currentAt) {
    Map<VersionId, Instant> versions = firstHeard.getOrDefault(service, Map.of());
    Instant heardAt = versions.get(entry.announcement().version());
    return heardAt != null && (versions.size() == 1 || currentAt.isAfter(heardAt));
  }
}
