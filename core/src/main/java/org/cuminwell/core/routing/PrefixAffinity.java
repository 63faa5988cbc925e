package org.cuminwell.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.EndpointId;

/**
 * Maps prompt prefixes to the endpoints that ran them last and so may have them in their caches.
 *
 * <p>An entry may be stale: caches evict, and endpoints restart. Invariant: there are at most
 * {@link #MAX_PREFIXES} entries, of which the least recently used is evicted first. Not thread
 * safe: one thread owns it.
 */
final class PrefixAffinity {

  /** The largest number of entries. */
  static final int MAX_PREFIXES = 16_384;

  private final LinkedHashMap<Long, EndpointId> endpoints = new LinkedHashMap<>(64, 0.75f, true);

  void record(long prefix, EndpointId endpoint) {
    endpoints.put(prefix, endpoint);
    if (endpoints.size() > MAX_PREFIXES) {
      Map.Entry<Long, EndpointId> oldest = endpoints.firstEntry();
      endpoints.remove(oldest.getKey());
    }
  }

  Optional<EndpointId> find(long prefix) {
    return Optional.ofNullable(endpoints.get(prefix));
  }
}
