package org.cuminwell.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.model.RouteId;

/**
 * Holds what was seen of both versions during one step, by route, since routes differ in what is
 * usual and a version may be bad on one of them only. Immutable and thread safe.
 */
public record RolloutEvidence(Map<RouteId, VersionEvidence> byRoute) {

  /** Nothing seen. */
  public static final RolloutEvidence NONE = new RolloutEvidence(Map.of());

  /** Copies the map. */
  public RolloutEvidence {
    byRoute = Map.copyOf(byRoute);
  }

  /** Returns the sums of both. */
  public RolloutEvidence plus(RolloutEvidence other) {
    Map<RouteId, VersionEvidence> sums = new HashMap<>(byRoute);
    other.byRoute.forEach((route, seen) -> sums.merge(route, seen, VersionEvidence::plus));
    return new RolloutEvidence(sums);
  }

  /** Returns what this has beyond an earlier sum. */
  public RolloutEvidence minus(RolloutEvidence earlier) {
    Map<RouteId, VersionEvidence> rest = new HashMap<>();
    byRoute.forEach(
        (route, seen) ->
            rest.put(route, seen.minus(earlier.byRoute.getOrDefault(route, VersionEvidence.NONE))));
    return new RolloutEvidence(rest);
  }

  /** Returns the sum over all routes. */
  public VersionEvidence total() {
    return byRoute.values().stream().reduce(VersionEvidence.NONE, VersionEvidence::plus);
  }

  /** Returns how many attempts have ended. */
  public long requests() {
    VersionEvidence total = total();
    return total.newRequests() + total.oldRequests();
  }

  /** Returns everything that is judged by itself: each route, and all of them where several are. */
  List<VersionEvidence> judged() {
    List<VersionEvidence> parts = new ArrayList<>(byRoute.values());
    if (parts.size() != 1) {
      parts.add(total());
    }
    return parts;
  }
}
