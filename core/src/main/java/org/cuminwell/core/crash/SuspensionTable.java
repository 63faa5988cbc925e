package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Holds the suspended traits, and decides when a request with one is tried.
 *
 * <p>Once the hold of a suspension is over, each gateway waits for a random further time, so that
 * mostly one of them tries first and the others learn how it ended. Invariants: at most {@link
 * #MAX_SUSPENSIONS} are held; each ends even if nobody asks for the trait. Not thread safe: the
 * {@link CrashEvidence} owns it.
 */
final class SuspensionTable {

  static final int MAX_SUSPENSIONS = 512;

  /** How long a suspension is remembered after its hold, or after it was lifted. */
  static final Duration RETENTION = Duration.ofMinutes(10);

  /** The mean time between the first trials of two gateways. */
  private static final Duration TRIAL_SPACING = Duration.ofSeconds(5);

  /** How long a gateway waits for the end of one trial before the next. */
  private static final Duration TRIAL_PERIOD = Duration.ofSeconds(10);

  private final Map<Trait, Active> suspensions = new LinkedHashMap<>();
  private final Map<Trait, Instant> nextTrials = new HashMap<>();
  private final IntSupplier gateways;
  private final SplittableRandom random;

  private record Active(Suspension suspension, Instant since) {

    Instant heldUntil() {
      return since.plus(suspension.hold());
    }

    Instant forgottenAt() {
      return (suspension.lifted() ? since : heldUntil()).plus(RETENTION);
    }
  }

  /**
   * Creates an empty table.
   *
   * @param gateways supplies the number of gateways that may try requests
   */
  SuspensionTable(IntSupplier gateways, SplittableRandom random) {
    this.gateways = gateways;
    this.random = random;
  }

  /** Records a suspension that began {@code age} ago, and returns whether it changed anything. */
  boolean merge(Suspension suspension, Duration age, Instant now) {
    Active known = suspensions.get(suspension.trait());
    if (known != null && !suspension.supersedes(known.suspension())) {
      return false;
    }
    Active active = new Active(suspension, now.minus(age));
    suspensions.remove(suspension.trait());
    suspensions.put(suspension.trait(), active);
    nextTrials.put(suspension.trait(), active.heldUntil().plus(trialDelay()));
    if (suspensions.size() > MAX_SUSPENSIONS) {
      remove(suspensions.keySet().iterator().next());
    }
    return true;
  }

  /** Suspends the trait once more than before, and returns the suspension. */
  Suspension suspend(Trait trait, Instant now) {
    Active known = suspensions.get(trait);
    int strikes = known == null ? 1 : known.suspension().strikes() + 1;
    Suspension suspension = new Suspension(trait, strikes, false);
    merge(suspension, Duration.ZERO, now);
    return suspension;
  }

  /** Lifts the suspension of the trait, if there is one. */
  Optional<Suspension> lift(Trait trait, Instant now) {
    Suspension suspension = find(trait);
    if (suspension == null || suspension.lifted()) {
      return Optional.empty();
    }
    Suspension lifted = new Suspension(trait, suspension.strikes(), true);
    merge(lifted, Duration.ZERO, now);
    return Optional.of(lifted);
  }

  /** Returns the traits whose suspensions were not lifted. */
  Set<Trait> suspended() {
    return suspensions.values().stream()
        .map(Active::suspension)
        .filter(suspension -> !suspension.lifted())
        .map(Suspension::trait)
        .collect(Collectors.toSet());
  }

  /** Returns whether no suspension is held, lifted ones included. */
  boolean isEmpty() {
    return suspensions.isEmpty();
  }

  /** Returns whether the trait is suspended since a time before {@code at}. */
  boolean isSuspendedBefore(Trait trait, Instant at) {
    Active active = suspensions.get(trait);
    return active != null && !active.suspension().lifted() && active.since().isBefore(at);
  }

  /** Returns whether the trait is suspended and its hold was over at {@code at}. */
  boolean isOnTrial(Trait trait, Instant at) {
    Active active = suspensions.get(trait);
    return active != null && !active.suspension().lifted() && !at.isBefore(active.heldUntil());
  }

  /** Returns how long all requests with one of the traits are still refused, or zero. */
  Duration remainingHold(Collection<Trait> traits, Instant now) {
    return traits.stream()
        .map(suspensions::get)
        .filter(active -> active != null && !active.suspension().lifted())
        .map(active -> Duration.between(now, active.heldUntil()))
        .filter(Duration::isPositive)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  /**
   * Returns the suspensions on trial that a request with these traits is sent to test, or empty if
   * this gateway has to wait before it tries.
   */
  Optional<List<Suspension>> tryRequest(Collection<Trait> traits, Instant now) {
    List<Suspension> onTrial = new ArrayList<>();
    for (Trait trait : traits) {
      Suspension suspension = find(trait);
      if (suspension != null && !suspension.lifted()) {
        if (now.isBefore(nextTrials.getOrDefault(trait, now))) {
          return Optional.empty();
        }
        onTrial.add(suspension);
      }
    }
    onTrial.forEach(tried -> nextTrials.put(tried.trait(), now.plus(TRIAL_PERIOD)));
    return Optional.of(onTrial);
  }

  /** Removes suspensions that nobody asked for in a long time. */
  void expire(Instant now) {
    suspensions.entrySet().stream()
        .filter(entry -> !now.isBefore(entry.getValue().forgottenAt()))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::remove);
  }

  /** Returns these suspensions, as far as they are held, with their ages. */
  List<CrashUpdate.Aged> aged(Collection<Trait> traits, Instant now) {
    return traits.stream()
        .map(suspensions::get)
        .filter(active -> active != null)
        .map(
            active ->
                new CrashUpdate.Aged(active.suspension(), Duration.between(active.since(), now)))
        .toList();
  }

  /** Returns the traits of all suspensions, lifted ones included. */
  Set<Trait> traits() {
    return Set.copyOf(suspensions.keySet());
  }

  private @Nullable Suspension find(Trait trait) {
    Active active = suspensions.get(trait);
    return active == null ? null : active.suspension();
  }

  private void remove(Trait trait) {
    suspensions.remove(trait);
    nextTrials.remove(trait);
  }

  private Duration trialDelay() {
    return Duration.ofMillis(
        random.nextLong(TRIAL_SPACING.toMillis() * Math.max(1, gateways.getAsInt())));
  }
}
