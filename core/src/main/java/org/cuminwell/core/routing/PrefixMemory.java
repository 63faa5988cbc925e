package org.cuminwell.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.EndpointId;

/**
 * Remembers at which endpoint each prompt prefix was last run, as a hint to warm caches.
 *
 * <p>A hint may be wrong: caches forget, and endpoints restart. Invariant: at most {@link
 * #MAX_PREFIXES} are remembered, the least recently used goes first. Not thread safe: one thread
 * owns it.
 */
final class PrefixMemory {

  /** How many prefixes are remembered. */
  static final int MAX_PREFIXES = 16_384;

  private final LinkedHashMap<Long, EndpointId> places = new LinkedHashMap<>(64, 0.75f, true);

  void remember(long prefix, EndpointId endpoint) {
    places.put(prefix, endpoint);
    if (places.size() > MAX_PREFIXES) {
      Map.Entry<Long, EndpointId> oldest = places.firstEntry();
      places.remove(oldest.getKey());
    }
  }

  Optional<EndpointId> find(long prefix) {
    return Optional.ofNullable(places.get(prefix));
  }
}
