package org.cuminwell.core.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionRollout;

/**
 * Keeps the last recorded step of each route's rollout, one rollout a route.
 *
 * <p>Invariants: the steps of a rollout follow each other without gaps; no step follows a final
 * state. A later ticket with the same content is the same rollout and changes nothing; one that
 * differs in any part, such as the deadline, is a new rollout. Not thread safe: one thread owns it.
 */
public final class RolloutRegistry {

  private final TreeMap<RouteId, RolloutProgress> latest = new TreeMap<>();

  /** Creates an empty registry. */
  public RolloutRegistry() {}

  /** Creates a registry with the steps of another one. */
  public RolloutRegistry(List<RolloutProgress> steps) {
    steps.forEach(step -> this.latest.put(routeOf(step.rollout()), step));
  }

  /** Records the step if it is the next one of its rollout, and returns whether it was. */
  public boolean recordIfNext(RolloutAdvance advance, Instant recordedAt) {
    Optional<RolloutProgress> last = find(advance.rollout());
    boolean unfinished = last.map(step -> !step.state().isFinal()).orElse(true);
    long next = last.map(RolloutProgress::step).orElse(0L) + 1;
    if (!unfinished || advance.step() != next) {
      return false;
    }
    latest.put(
        routeOf(advance.rollout()),
        new RolloutProgress(advance.rollout(), advance.step(), advance.state(), recordedAt));
    return true;
  }

  /** Returns the last step of exactly this rollout. */
  public Optional<RolloutProgress> find(VersionRollout rollout) {
    return Optional.ofNullable(latest.get(routeOf(rollout)))
        .filter(step -> step.rollout().equals(rollout));
  }

  /** Returns whether a rollout has not reached a final state. */
  public boolean hasUnfinished() {
    return latest.values().stream().anyMatch(step -> !step.state().isFinal());
  }

  /** Returns the last step of the latest rollout of each route. */
  public List<RolloutProgress> latestSteps() {
    return List.copyOf(latest.values());
  }

  private static RouteId routeOf(VersionRollout versionRollout) {
    return switch (versionRollout) {
      case RouteRollout ofRoute -> ofRoute.route();
      case ServiceRollout rollout ->
          throw new IllegalArgumentException(
              "service "
                  + rollout.service()
                  + " has no route; its rollout is stored with the forwarded routes");
    };
  }
}
