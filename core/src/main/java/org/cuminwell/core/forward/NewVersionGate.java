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
 * Holds back versions of a service that this gateway has only just discovered, in case a rollout
 * bounds them.
 *
 * <p>The endpoints of a new version may announce themselves before the configuration change that
 * limits their exposure has arrived. So a version may be used only once every change committed
 * before it was first seen is in force on this gateway. The only version of a service needs no such
 * wait. Not thread safe: the thread of its {@link Forwarder} owns it.
 */
final class NewVersionGate {

  private final Map<String, Map<VersionId, Instant>> firstSeenAt = new HashMap<>();

  /** Records the versions of the service's endpoints, and removes versions that no endpoint has. */
  void update(String service, Collection<Entry> entries, Instant now) {
    Set<VersionId> present = new HashSet<>();
    entries.forEach(entry -> present.add(entry.announcement().version()));
    Map<VersionId, Instant> versions = firstSeenAt.computeIfAbsent(service, _ -> new HashMap<>());
    versions.keySet().retainAll(present);
    present.forEach(version -> versions.putIfAbsent(version, now));
  }

  /**
   * Returns whether the endpoint's version may be used.
   *
   * @param currentAsOf every change committed before this time is in force on this gateway
   */
  boolean isUsable(String service, Entry entry, Instant currentAsOf) {
    Map<VersionId, Instant> versions = firstSeenAt.getOrDefault(service, Map.of());
    Instant seenAt = versions.get(entry.announcement().version());
    return seenAt != null && (versions.size() == 1 || currentAsOf.isAfter(seenAt));
  }
}
