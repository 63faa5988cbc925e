package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Finds the traits to suspend in the evidence on crashes.
 *
 * <p>A trait is to blame if it was a suspect in several crashes and no request with it has been
 * responded to since. A part of a prompt must also explain most crashes of its service since its
 * first one, and no other trait may explain the same ones and more: a sound part that is rarely
 * used can be there by chance a few times, but not each time. Stateless and thread safe.
 */
final class SuspicionRules {

  /** The number of incidents after which a trait is suspended. */
  static final int INCIDENTS = 3;

  /** The number of incidents after which parts are suspended that explain the same crashes. */
  static final int INCIDENTS_IF_TIED = 4;

  /**
   * How far apart crashes must be to count as two incidents. Endpoints that lose power together
   * share all common traits, and there has been no time to clear them.
   */
  static final Duration INCIDENT_SPACING = Duration.ofMillis(500);

  private static final int NEVER = Integer.MAX_VALUE;

  private SuspicionRules() {}

  /**
   * A crash that counts as evidence. Immutable and thread safe.
   *
   * @param learnedAt when this host learned of it
   */
  record Evidence(CrashRecord crash, Instant learnedAt) {}

  /**
   * Names a trait to suspend. Immutable and thread safe.
   *
   * @param incidents the number of incidents that it explains
   */
  record Finding(Trait trait, int incidents) {}

  /**
   * Returns the traits to suspend. As long as repetitions of a request are to blame, its parts are
   * not, which may be in other crashes by chance.
   *
   * @param evidence the crashes that no suspended trait explains, in the order in which this host
   *     learned of them
   */
  static List<Finding> findTraits(List<Evidence> evidence) {
    Map<Trait, Set<Integer>> crashesByTrait = groupByTrait(evidence);
    List<Finding> findings = new ArrayList<>();
    crashesByTrait.forEach(
        (trait, crashes) -> {
          int incidents = countIncidents(crashes, evidence);
          if (incidents >= INCIDENTS
              && incidents >= requiredIncidents(trait, crashes, crashesByTrait, evidence)) {
            findings.add(new Finding(trait, incidents));
          }
        });
    List<Finding> contents =
        findings.stream().filter(finding -> finding.trait() instanceof Trait.Content).toList();
    return contents.isEmpty() ? findings : contents;
  }

  /** Returns, for each open suspect, the indices of its crashes in ascending order. */
  private static Map<Trait, Set<Integer>> groupByTrait(List<Evidence> evidence) {
    Map<Trait, Set<Integer>> crashesByTrait = new HashMap<>();
    for (int i = 0; i < evidence.size(); i++) {
      for (Trait trait : evidence.get(i).crash().openSuspects()) {
        crashesByTrait.computeIfAbsent(trait, _ -> new LinkedHashSet<>()).add(i);
      }
    }
    return crashesByTrait;
  }

  private static int requiredIncidents(
      Trait trait,
      Set<Integer> crashes,
      Map<Trait, Set<Integer>> crashesByTrait,
      List<Evidence> evidence) {
    return switch (trait) {
      case Trait.Content t -> INCIDENTS;
      case Trait.SharedPart t ->
          Math.max(
              requiredAmongRivals(t, crashes, crashesByTrait),
              requiredForShare(countIncidentsSince(crashes, evidence)));
    };
  }

  /** Returns how many incidents a part needs in view of the other traits of its crashes. */
  private static int requiredAmongRivals(
      Trait.SharedPart part, Set<Integer> crashes, Map<Trait, Set<Integer>> crashesByTrait) {
    int required = INCIDENTS;
    for (Map.Entry<Trait, Set<Integer>> rival : crashesByTrait.entrySet()) {
      if (rival.getKey().equals(part) || !rival.getValue().containsAll(crashes)) {
        continue;
      }
      boolean isTied = rival.getValue().size() == crashes.size();
      required =
          switch (rival.getKey()) {
            case Trait.Content r -> NEVER;
            case Trait.SharedPart r -> isTied ? Math.max(required, INCIDENTS_IF_TIED) : NEVER;
          };
      if (required == NEVER) {
        return NEVER;
      }
    }
    return required;
  }

  /** Returns how many of {@code all} incidents a part must explain; chance explains few. */
  private static int requiredForShare(int all) {
    return all <= INCIDENTS ? INCIDENTS : all <= 5 ? INCIDENTS_IF_TIED : Math.max(5, (all + 1) / 2);
  }

  /** Returns the incidents of the service since the first of the given crashes. */
  private static int countIncidentsSince(Set<Integer> crashes, List<Evidence> evidence) {
    int first = crashes.iterator().next();
    String service = evidence.get(first).crash().service();
    List<Integer> since =
        IntStream.range(first, evidence.size())
            .filter(i -> evidence.get(i).crash().service().equals(service))
            .boxed()
            .toList();
    return countIncidents(since, evidence);
  }

  private static int countIncidents(Iterable<Integer> crashes, List<Evidence> evidence) {
    int incidents = 0;
    Instant previous = Instant.MIN;
    for (int crash : crashes) {
      Instant learnedAt = evidence.get(crash).learnedAt();
      if (incidents == 0 || !learnedAt.isBefore(previous.plus(INCIDENT_SPACING))) {
        incidents++;
        previous = learnedAt;
      }
    }
    return incidents;
  }
}
