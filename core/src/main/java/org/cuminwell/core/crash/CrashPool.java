package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the records of recent crashes that a host knows of.
 *
 * <p>Invariants: at most {@link #MAX_CRASHES} are held, each for {@link #RETENTION} after this host
 * learned of it; they are in the order in which it did; the index holds exactly their open
 * suspects. Not thread safe: the {@link CrashEvidence} owns it.
 */
final class CrashPool {

  static final int MAX_CRASHES = 256;
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** The time after a crash within which its endpoint can't have started again. */
  static final Duration SHORTEST_RESTART = Duration.ofSeconds(2);

  private final Map<EndpointIncarnation, Known> crashes = new LinkedHashMap<>();

  /** The crashes of each open suspect, so that responses to other requests cost little. */
  private final Map<Trait, Set<EndpointIncarnation>> crashesBySuspect = new HashMap<>();

  /** A crash and the time when this host learned of it. */
  record Known(CrashRecord crash, Instant learnedAt) {}

  /** Merges the record with what is known, and returns whether that changed. */
  boolean merge(CrashRecord record, Instant now) {
    Known known = crashes.get(record.endpoint());
    if (known == null) {
      put(new Known(record, now));
      evictOldest();
      return true;
    }
    return replace(known, known.crash().mergedWith(record));
  }

  /**
   * Clears the traits in the crashes that this host knew of when a response to them started, and
   * returns the records that changed.
   */
  Set<EndpointIncarnation> clear(List<Trait> traits, Instant startedAt) {
    Set<EndpointIncarnation> changed = new HashSet<>();
    for (Trait trait : traits) {
      for (EndpointIncarnation endpoint : Set.copyOf(crashesOf(trait))) {
        Known known = crashes.get(endpoint);
        if (known != null
            && startedAt.isAfter(known.learnedAt())
            && replace(known, known.crash().withCleared(trait))) {
          changed.add(endpoint);
        }
      }
    }
    return changed;
  }

  /**
   * Refutes the crash of an endpoint that has responded to an attempt sent later, and returns
   * whether that changed a record.
   */
  boolean refute(EndpointIncarnation endpoint, Instant sentAt, Instant now) {
    Known known = crashes.get(endpoint);
    return known != null
        && sentAt.isAfter(known.learnedAt())
        && now.isBefore(known.learnedAt().plus(SHORTEST_RESTART))
        && replace(known, known.crash().withRefuted());
  }

  /** Removes what is too old. */
  void expire(Instant now) {
    crashes.values().stream()
        .filter(known -> !now.isBefore(known.learnedAt().plus(RETENTION)))
        .toList()
        .forEach(this::remove);
  }

  /** Returns how many crashes have the trait as a suspect that was not cleared. */
  int countOpen(Trait trait) {
    return crashesOf(trait).size();
  }

  /** Returns the known crashes, in the order in which this host learned of them. */
  List<Known> all() {
    return List.copyOf(crashes.values());
  }

  /** Returns the records of these crashes that are still held. */
  List<CrashRecord> records(Set<EndpointIncarnation> of) {
    List<CrashRecord> records = new ArrayList<>();
    for (Known known : crashes.values()) {
      if (of.contains(known.crash().endpoint())) {
        records.add(known.crash());
      }
    }
    return records;
  }

  private Set<EndpointIncarnation> crashesOf(Trait suspect) {
    return crashesBySuspect.getOrDefault(suspect, Set.of());
  }

  private boolean replace(Known known, CrashRecord record) {
    if (record.equals(known.crash())) {
      return false;
    }
    removeFromIndex(known.crash());
    put(new Known(record, known.learnedAt()));
    return true;
  }

  private void evictOldest() {
    if (crashes.size() > MAX_CRASHES) {
      remove(crashes.values().iterator().next());
    }
  }

  private void put(Known known) {
    EndpointIncarnation endpoint = known.crash().endpoint();
    crashes.put(endpoint, known);
    for (Trait suspect : known.crash().openSuspects()) {
      crashesBySuspect.computeIfAbsent(suspect, _ -> new HashSet<>()).add(endpoint);
    }
  }

  private void remove(Known known) {
    crashes.remove(known.crash().endpoint());
    removeFromIndex(known.crash());
  }

  private void removeFromIndex(CrashRecord crash) {
    for (Trait suspect : crash.openSuspects()) {
      crashesBySuspect.computeIfPresent(
          suspect,
          (_, endpoints) -> {
            endpoints.remove(crash.endpoint());
            return endpoints.isEmpty() ? null : endpoints;
          });
    }
  }
}
