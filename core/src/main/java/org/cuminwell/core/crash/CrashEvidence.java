package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.cuminwell.core.model.HostId;

/**
 * Pools the evidence of all gateways on which requests crash endpoints, and says which requests are
 * suspended.
 *
 * <p>Each host draws its conclusions from the records that it holds, and hosts exchange both.
 * Invariant: a trait is suspended only after crashes, since the last response to a request with it,
 * that {@link SuspicionRules} blame on it. Not thread safe: one thread owns it.
 */
public final class CrashEvidence {

  /** The number of lost attempts that together count as a crash even before a restart is seen. */
  static final int MIN_LOST_ATTEMPTS = 3;

  /**
   * How long reports on a crash are waited for. Until the gateway reports that lost the request to
   * blame, another trait seems to explain more crashes, and a trait that is much used is cleared by
   * the first responses after the crash.
   */
  static final Duration COLLECTION = Duration.ofMillis(800);

  /** The number of open crashes from which on a request is not sent to a further endpoint. */
  private static final int CRASHES_TO_STOP_RETRIES = 2;

  private final HostId self;
  private final boolean relaysMerged;
  private final CrashPool pool = new CrashPool();
  private final SuspensionTable suspensions;
  private final Set<EndpointIncarnation> restarted = new HashSet<>();
  private final Set<EndpointIncarnation> changedCrashes = new HashSet<>();
  private final Set<Trait> changedSuspensions = new HashSet<>();
  private List<CrashLogEvent> logEvents = new ArrayList<>();
  private Instant evaluationDueAt = Instant.MAX;

  private CrashEvidence(
      HostId self, boolean relaysMerged, IntSupplier gateways, SplittableRandom random) {
    this.self = self;
    this.relaysMerged = relaysMerged;
    this.suspensions = new SuspensionTable(gateways, random);
  }

  /**
   * Creates the evidence of a gateway, which sends on only what it has found itself.
   *
   * @param gateways supplies the number of gateways, this one included
   */
  public static CrashEvidence ofGateway(
      HostId self, IntSupplier gateways, SplittableRandom random) {
    return new CrashEvidence(self, false, gateways, random);
  }

  /** Creates the evidence of a control host, which also sends on what it has received. */
  public static CrashEvidence ofControlHost(HostId self) {
    return new CrashEvidence(self, true, () -> 1, new SplittableRandom(self.hashCode()));
  }

  /** Records attempts that this gateway lost at an endpoint. */
  public void recordCrash(CrashDetector.Report report, Instant now) {
    CrashRecord crash =
        CrashRecord.seenBy(
            self, report.endpoint(), report.service(), report.lostAttempts(), report.suspects());
    logEvents.add(
        new CrashLogEvent.CrashSeen(
            report.endpoint(), report.lostAttempts(), report.suspects().size()));
    if (pool.merge(crash, now)) {
      changedCrashes.add(report.endpoint());
      scheduleEvaluation(now);
    }
  }

  /** Records that an endpoint has responded to an attempt that was sent at {@code sentAt}. */
  public void recordAlive(EndpointIncarnation endpoint, Instant sentAt, Instant now) {
    if (pool.refute(endpoint, sentAt, now)) {
      changedCrashes.add(endpoint);
    }
  }

  /** Records a good response, which started at {@code startedAt}, to a request with the traits. */
  public void recordWorked(List<Trait> traits, Instant startedAt, Instant now) {
    Set<EndpointIncarnation> cleared = pool.clear(traits, startedAt);
    changedCrashes.addAll(cleared);
    for (Trait trait : traits) {
      boolean isRefuted = !cleared.isEmpty() && pool.countOpen(trait) == 0;
      if (isRefuted || suspensions.isSuspendedBefore(trait, startedAt)) {
        lift(trait, now);
      }
    }
  }

  /** Returns whether no trait is suspended or was lately. */
  public boolean hasNoSuspensions() {
    return suspensions.isEmpty();
  }

  /** Returns how long requests with one of the traits are still refused; zero if they are not. */
  public Duration remainingHold(List<Trait> traits, Instant now) {
    return suspensions.remainingHold(traits, now);
  }

  /** Returns whether a request with the traits may be sent, be it to try a suspended trait. */
  public boolean admits(List<Trait> traits, Instant now) {
    Optional<List<Suspension>> tried = suspensions.tryRequest(traits, now);
    tried.ifPresent(
        onTrial ->
            onTrial.forEach(s -> logEvents.add(new CrashLogEvent.Tried(s.trait(), s.strikes()))));
    return tried.isPresent();
  }

  /** Returns whether a request with the traits must not be sent to another endpoint. */
  public boolean forbidsRetry(List<Trait> traits) {
    return traits.stream().anyMatch(trait -> pool.countOpen(trait) >= CRASHES_TO_STOP_RETRIES);
  }

  /** Merges the evidence of another host. */
  public void merge(CrashUpdate update, Instant now) {
    for (CrashRecord crash : update.crashes()) {
      if (pool.merge(crash, now)) {
        scheduleEvaluation(now);
        crash.cleared().stream()
            .filter(trait -> pool.countOpen(trait) == 0)
            .forEach(trait -> lift(trait, now));
        if (relaysMerged) {
          changedCrashes.add(crash.endpoint());
        }
      }
    }
    for (CrashUpdate.Aged aged : update.suspensions()) {
      if (suspensions.merge(aged.suspension(), aged.age(), now)) {
        logEvents.add(new CrashLogEvent.Told(aged.suspension()));
        if (relaysMerged) {
          changedSuspensions.add(aged.suspension().trait());
        }
      }
    }
  }

  /**
   * Draws conclusions from what has changed, and drops what is too old.
   *
   * @param hasRestarted returns whether a later incarnation of the endpoint is known
   */
  public void tick(Predicate<EndpointIncarnation> hasRestarted, Instant now) {
    pool.expire(now);
    suspensions.expire(now);
    recordRestarts(hasRestarted, now);
    if (!now.isBefore(evaluationDueAt)) {
      evaluationDueAt = Instant.MAX;
      evaluate(now);
    }
  }

  /** Returns what other hosts must be sent since the last call. */
  public CrashUpdate takeChanges(Instant now) {
    CrashUpdate changes =
        new CrashUpdate(pool.records(changedCrashes), suspensions.aged(changedSuspensions, now));
    changedCrashes.clear();
    changedSuspensions.clear();
    return changes;
  }

  /** Returns everything that is known, for a host that has just connected. */
  public CrashUpdate all(Instant now) {
    return new CrashUpdate(
        pool.all().stream().map(CrashPool.Known::crash).toList(),
        suspensions.aged(suspensions.traits(), now));
  }

  /** Returns the log events since the last call. */
  public List<CrashLogEvent> takeLogEvents() {
    List<CrashLogEvent> taken = logEvents;
    logEvents = new ArrayList<>();
    return taken;
  }

  private void scheduleEvaluation(Instant now) {
    if (evaluationDueAt.equals(Instant.MAX)) {
      evaluationDueAt = now.plus(COLLECTION);
    }
  }

  /** Notes which endpoints have started again, which confirms that they had ended. */
  private void recordRestarts(Predicate<EndpointIncarnation> hasRestarted, Instant now) {
    restarted.retainAll(pool.all().stream().map(known -> known.crash().endpoint()).toList());
    for (CrashPool.Known known : pool.all()) {
      EndpointIncarnation endpoint = known.crash().endpoint();
      if (!restarted.contains(endpoint) && hasRestarted.test(endpoint)) {
        restarted.add(endpoint);
        scheduleEvaluation(now);
      }
    }
  }

  private void evaluate(Instant now) {
    Instant collected = now.minus(COLLECTION);
    List<CrashPool.Known> confirmed =
        pool.all().stream()
            .filter(known -> !known.learnedAt().isAfter(collected))
            .filter(this::isConfirmed)
            .toList();
    confirmed.forEach(known -> suspendFailedTrials(known, now));
    List<SuspicionRules.Finding> findings = findTraits(confirmed);
    while (!findings.isEmpty()) {
      findings.forEach(finding -> suspend(finding.trait(), finding.incidents(), now));
      findings = findTraits(confirmed);
    }
  }

  private List<SuspicionRules.Finding> findTraits(List<CrashPool.Known> confirmed) {
    Set<Trait> suspended = suspensions.suspended();
    return SuspicionRules.findTraits(
        confirmed.stream()
            .filter(known -> !isExplained(known, suspended))
            .map(known -> new SuspicionRules.Evidence(known.crash(), known.learnedAt()))
            .toList());
  }

  private boolean isConfirmed(CrashPool.Known known) {
    return !known.crash().refuted()
        && (known.crash().totalLostAttempts() >= MIN_LOST_ATTEMPTS
            || restarted.contains(known.crash().endpoint()));
  }

  /** Suspends traits again that crashed an endpoint when they were tried. */
  private void suspendFailedTrials(CrashPool.Known known, Instant now) {
    for (Trait trait : known.crash().openSuspects()) {
      if (suspensions.isOnTrial(trait, known.learnedAt())) {
        suspend(trait, 1, now);
      }
    }
  }

  /** Returns whether a suspended trait explains the crash, so that it blames no other. */
  private static boolean isExplained(CrashPool.Known known, Set<Trait> suspended) {
    return suspended.stream().anyMatch(known.crash()::isOpenSuspect);
  }

  private void suspend(Trait trait, int incidents, Instant now) {
    Suspension suspension = suspensions.suspend(trait, now);
    changedSuspensions.add(trait);
    logEvents.add(
        new CrashLogEvent.Suspended(trait, suspension.strikes(), incidents, suspension.hold()));
  }

  /** Lifts the suspension of a trait that no crash is blamed on any more, if there is one. */
  private void lift(Trait trait, Instant now) {
    suspensions
        .lift(trait, now)
        .ifPresent(
            lifted -> {
              changedSuspensions.add(trait);
              logEvents.add(new CrashLogEvent.Lifted(trait, lifted.strikes()));
            });
  }
}
