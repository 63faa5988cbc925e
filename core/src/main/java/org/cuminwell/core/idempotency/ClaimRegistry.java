package org.cuminwell.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.CustomerId;

/**
 * Records which claim may run each idempotent call, and the call's outcome.
 *
 * <p>Invariants: a key is granted to one claim at a time; a granted claim ends only when it is
 * released or when its retention ends; an outcome never changes once recorded. The state depends
 * only on the changes applied and their times. Not thread safe: one thread owns it.
 */
public final class ClaimRegistry {

  /** How long a claim is kept after it was made. */
  public static final Duration RETENTION = Duration.ofHours(24);

  /** How long a release is kept, so that a delayed claim with the same id is not granted. */
  public static final Duration RELEASE_RETENTION = Duration.ofMinutes(15);

  /** The maximum number of claims kept. */
  public static final int MAX_CLAIMS = 200_000;

  /** The maximum number of claims kept for one customer. */
  public static final int MAX_CLAIMS_PER_CUSTOMER = 100_000;

  /** The maximum number of releases kept. */
  public static final int MAX_RELEASES = 50_000;

  /** The maximum total size of the response bodies kept, in bytes. */
  public static final long MAX_TOTAL_BODY_BYTES = 32L * 1024 * 1024;

  private final LinkedHashMap<ClaimKey, Entry> entries = new LinkedHashMap<>();
  private final LinkedHashMap<ClaimId, Instant> releaseTimes = new LinkedHashMap<>();
  private final Map<CustomerId, Integer> claimCounts = new HashMap<>();
  private Instant latestLogTime = Instant.EPOCH;
  private long totalBodyBytes;

  /**
   * Records a granted claim. Immutable and thread safe.
   *
   * @param holder the claim that the key is granted to
   * @param claimedAt when the claim was granted
   * @param runLimit how long the call may run after that
   * @param outcome how the call ended; empty until that is reported
   */
  public record Entry(
      ClaimKey key,
      ClaimId holder,
      Fingerprint fingerprint,
      Instant claimedAt,
      Duration runLimit,
      Optional<CallOutcome> outcome) {}

  /** Records a released claim. Immutable and thread safe. */
  public record Release(ClaimId id, Instant releasedAt) {}

  /**
   * Holds a copy of the whole content. Immutable and thread safe.
   *
   * @param entries the claims, oldest first
   * @param releases the releases, oldest first
   * @param latestLogTime the latest time of an applied change
   */
  public record Snapshot(List<Entry> entries, List<Release> releases, Instant latestLogTime) {

    /** The snapshot without claims. */
    public static final Snapshot EMPTY = new Snapshot(List.of(), List.of(), Instant.EPOCH);

    /** Copies the lists. */
    public Snapshot {
      entries = List.copyOf(entries);
      releases = List.copyOf(releases);
    }
  }

  /** Creates an empty instance. */
  public ClaimRegistry() {}

  /** Restores an instance from a snapshot. */
  public ClaimRegistry(Snapshot snapshot) {
    snapshot.entries().forEach(this::add);
    snapshot.releases().forEach(release -> releaseTimes.put(release.id(), release.releasedAt()));
    latestLogTime = snapshot.latestLogTime();
  }

  /**
   * Applies a committed change.
   *
   * @param at the time of the log entry; earlier times than that of the previous change are
   *     replaced by it
   */
  public ClaimAnswer apply(ClaimChange change, Instant at) {
    latestLogTime = at.isAfter(latestLogTime) ? at : latestLogTime;
    removeExpired();
    return switch (change) {
      case ClaimChange.Claim claim -> claim(claim);
      case ClaimChange.Release release -> release(release);
      case ClaimChange.Settle settle -> settle(settle);
    };
  }

  /** Returns a snapshot of the whole content. */
  public Snapshot snapshot() {
    return new Snapshot(
        List.copyOf(entries.values()),
        releaseTimes.entrySet().stream().map(r -> new Release(r.getKey(), r.getValue())).toList(),
        latestLogTime);
  }

  private ClaimAnswer claim(ClaimChange.Claim claim) {
    Entry entry = entries.get(claim.key());
    if (entry != null) {
      return answerExisting(claim, entry);
    }
    if (releaseTimes.containsKey(claim.id())) {
      return new ClaimAnswer.Withdrawn();
    }
    int customerClaims = claimCounts.getOrDefault(claim.key().customer(), 0);
    if (entries.size() >= MAX_CLAIMS || customerClaims >= MAX_CLAIMS_PER_CUSTOMER) {
      return new ClaimAnswer.LimitReached();
    }
    add(
        new Entry(
            claim.key(),
            claim.id(),
            claim.fingerprint(),
            latestLogTime,
            claim.runLimit(),
            Optional.empty()));
    return new ClaimAnswer.Granted();
  }

  /** Answers a claim on a key that is already claimed. */
  private ClaimAnswer answerExisting(ClaimChange.Claim claim, Entry entry) {
    if (!entry.fingerprint().equals(claim.fingerprint())) {
      return new ClaimAnswer.KeyReused();
    }
    if (entry.outcome().isPresent()) {
      return new ClaimAnswer.Ended(entry.outcome().get());
    }
    if (entry.holder().equals(claim.id())) {
      return new ClaimAnswer.Granted();
    }
    boolean isRunLimitExceeded = latestLogTime.isAfter(entry.claimedAt().plus(entry.runLimit()));
    return isRunLimitExceeded
        ? new ClaimAnswer.Ended(new CallOutcome.Unknown())
        : new ClaimAnswer.InProgress();
  }

  private ClaimAnswer release(ClaimChange.Release release) {
    releaseTimes.putIfAbsent(release.id(), latestLogTime);
    Entry entry = entries.get(release.key());
    if (entry != null && entry.holder().equals(release.id()) && entry.outcome().isEmpty()) {
      entries.remove(release.key());
      uncount(entry);
    }
    return new ClaimAnswer.Acknowledged();
  }

  private ClaimAnswer settle(ClaimChange.Settle settle) {
    Entry entry = entries.get(settle.key());
    if (entry != null && entry.holder().equals(settle.id()) && entry.outcome().isEmpty()) {
      CallOutcome callOutcome = withoutBodyIfFull(settle.outcome());
      totalBodyBytes += bodyBytes(callOutcome);
      entries.put(
          settle.key(),
          new Entry(
              entry.key(),
              entry.holder(),
              entry.fingerprint(),
              entry.claimedAt(),
              entry.runLimit(),
              Optional.of(callOutcome)));
    }
    return new ClaimAnswer.Acknowledged();
  }

  /**
   * Returns the outcome, without the body if keeping it would exceed {@link #MAX_TOTAL_BODY_BYTES}.
   */
  private CallOutcome withoutBodyIfFull(CallOutcome callOutcome) {
    return callOutcome instanceof CallOutcome.Answered answered
            && totalBodyBytes + bodyBytes(callOutcome) > MAX_TOTAL_BODY_BYTES
        ? answered.withoutBody()
        : callOutcome;
  }

  private static long bodyBytes(CallOutcome callOutcome) {
    return switch (callOutcome) {
      case CallOutcome.Answered o -> o.body().length();
      case CallOutcome.BodyNotKept o -> 0;
      case CallOutcome.AnswerLost o -> 0;
      case CallOutcome.Unknown o -> 0;
    };
  }

  private void add(Entry entry) {
    entries.put(entry.key(), entry);
    claimCounts.merge(entry.key().customer(), 1, Integer::sum);
    totalBodyBytes += entry.outcome().map(ClaimRegistry::bodyBytes).orElse(0L);
  }

  /** Subtracts a removed claim from the customer's count and the total body size. */
  private void uncount(Entry entry) {
    claimCounts.computeIfPresent(
        entry.key().customer(), (customer, count) -> count > 1 ? count - 1 : null);
    totalBodyBytes -= entry.outcome().map(ClaimRegistry::bodyBytes).orElse(0L);
  }

  /**
   * Removes claims and releases after their retention, and the oldest releases above their limit.
   */
  private void removeExpired() {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (!latestLogTime.isAfter(entry.claimedAt().plus(RETENTION))) {
        break;
      }
      oldest.remove();
      uncount(entry);
    }
    Iterator<Instant> releases = releaseTimes.values().iterator();
    while (releases.hasNext()) {
      boolean hasExpired = latestLogTime.isAfter(releases.next().plus(RELEASE_RETENTION));
      if (!hasExpired && releaseTimes.size() <= MAX_RELEASES) {
        break;
      }
      releases.remove();
    }
  }
}
