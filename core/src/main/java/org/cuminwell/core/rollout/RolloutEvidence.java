package org.cuminwell.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.model.RouteId;

/**
 * Holds the observations of both versions during one step, by route, since routes differ in their
 * usual latency and a version may be bad on one of them only. Immutable and thread safe.
 */
public record RolloutEvidence(Map<RouteId, VersionEvidence> byRoute) {

  /** The evidence without any observation. */
  public static final RolloutEvidence NONE = new RolloutEvidence(Map.of());

  /** Copies the map. */
  public RolloutEvidence {
    byRoute = Map.copyOf(byRoute);
  }

  /** Returns the sum of both. */
  public RolloutEvidence plus(RolloutEvidence other) {
    Map<RouteId, VersionEvidence> sums = new HashMap<>(byRoute);
    other.byRoute.forEach((route, evidence) -> sums.merge(route, evidence, VersionEvidence::plus));
    return new RolloutEvidence(sums);
  }

  /** Returns the observations added since the earlier sum. */
  public RolloutEvidence minus(RolloutEvidence earlier) {
    Map<RouteId, VersionEvidence> differences = new HashMap<>();
    byRoute.forEach(
        (route, evidence) ->
            differences.put(
                route, evidence.minus(earlier.byRoute.getOrDefault(route, VersionEvidence.NONE))));
    return new RolloutEvidence(differences);
  }

  /** Returns the sum over all routes. */
  public VersionEvidence total() {
    return byRoute.values().stream().reduce(VersionEvidence.NONE, VersionEvidence::plus);
  }

  /** Returns how many attempts have ended, at both versions. */
  public long attempts() {
    VersionEvidence total = total();
    return total.newRequests() + total.oldRequests();
  }

  /**
   * Returns the parts that are tested separately: each route, and the total if there is not exactly
   * one route.
   */
  List<VersionEvidence> parts() {
    List<VersionEvidence> parts = new ArrayList<>(byRoute.values());
    if (parts.size() != 1) {
      parts.add(total());
    }
    return parts;
  }
}
