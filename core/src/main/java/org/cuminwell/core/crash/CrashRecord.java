package org.cuminwell.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.model.HostId;

/**
 * Holds what is known of the end of one endpoint incarnation.
 *
 * <p>Records of the same incarnation merge into one that does not depend on their order, so that
 * hosts which exchange them agree. Immutable and thread safe.
 *
 * @param service the service that the lost attempts were for
 * @param lostAttempts how many attempts each gateway lost by it
 * @param suspects the traits of attempts that the endpoint had not begun to respond to, or only
 *     just; at most {@link #MAX_SUSPECTS}
 * @param cleared the suspects with which a request has begun to be responded to since
 * @param refuted whether the incarnation has responded since, so that it had not ended
 */
public record CrashRecord(
    EndpointIncarnation endpoint,
    String service,
    Map<HostId, Integer> lostAttempts,
    Set<Trait> suspects,
    Set<Trait> cleared,
    boolean refuted) {

  /** Bounds the memory that callers can take up with requests of many traits. */
  static final int MAX_SUSPECTS = 256;

  /** Copies the collections. */
  public CrashRecord {
    lostAttempts = Map.copyOf(lostAttempts);
    suspects = Set.copyOf(suspects);
    cleared = Set.copyOf(cleared);
  }

  /** Returns a record of what one gateway saw. */
  static CrashRecord seenBy(
      HostId gateway,
      EndpointIncarnation endpoint,
      String service,
      int lostAttempts,
      Set<Trait> suspects) {
    Set<Trait> bounded = suspects.stream().limit(MAX_SUSPECTS).collect(Collectors.toSet());
    return new CrashRecord(
        endpoint, service, Map.of(gateway, lostAttempts), bounded, Set.of(), false);
  }

  /** Returns how many attempts all gateways lost. */
  int totalLostAttempts() {
    return lostAttempts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns whether the trait is a suspect that was not cleared. */
  boolean isOpenSuspect(Trait trait) {
    return !refuted && suspects.contains(trait) && !cleared.contains(trait);
  }

  /** Returns the suspects that were not cleared. */
  Set<Trait> openSuspects() {
    return suspects.stream().filter(this::isOpenSuspect).collect(Collectors.toSet());
  }

  CrashRecord mergedWith(CrashRecord other) {
    Map<HostId, Integer> lost = new HashMap<>(lostAttempts);
    other.lostAttempts.forEach((gateway, count) -> lost.merge(gateway, count, Math::max));
    Set<Trait> allSuspects = union(suspects, other.suspects);
    Set<Trait> allCleared = union(cleared, other.cleared);
    return new CrashRecord(
        endpoint, service, lost, allSuspects, allCleared, refuted || other.refuted);
  }

  CrashRecord withCleared(Trait trait) {
    return new CrashRecord(
        endpoint, service, lostAttempts, suspects, union(cleared, Set.of(trait)), refuted);
  }

  CrashRecord withRefuted() {
    return new CrashRecord(endpoint, service, lostAttempts, suspects, cleared, true);
  }

  /** Returns the traits of both sets, up to {@link #MAX_SUSPECTS} of them. */
  private static Set<Trait> union(Set<Trait> one, Set<Trait> other) {
    Set<Trait> all = new HashSet<>(one);
    for (Trait trait : other) {
      if (all.size() < MAX_SUSPECTS) {
        all.add(trait);
      }
    }
    return all;
  }
}
