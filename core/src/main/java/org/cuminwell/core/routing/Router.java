package org.cuminwell.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.model.EndpointId;

/**
 * Chooses the endpoint with the least work outstanding from this gateway.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class Router {

  private final Map<EndpointId, Integer> outstanding = new HashMap<>();

  /**
   * Returns the endpoint to send to, or empty if none has room.
   *
   * @param tried endpoints that this request has failed at already
   */
  public Optional<Entry> choose(List<Entry> candidates, Set<EndpointId> tried) {
    return candidates.stream()
        .filter(entry -> !tried.contains(entry.announcement().endpoint()))
        .min(Comparator.comparingDouble(this::load));
  }

  /** Counts a request that was sent to the endpoint. */
  public void sent(EndpointId endpoint) {
    outstanding.merge(endpoint, 1, Integer::sum);
  }

  /** Counts a request that has ended at the endpoint. */
  public void ended(EndpointId endpoint) {
    outstanding.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
  }

  private double load(Entry entry) {
    int count = outstanding.getOrDefault(entry.announcement().endpoint(), 0);
    return (double) count / entry.announcement().capacity();
  }
}
