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
 * Keeps who may run each claimed call, and how it ended.
 *
 * <p>Invariants: a key is granted to one claim at a time; a claim that has been granted is given up
 * only by its own release or by the end of the retention; an outcome once told never changes. The
 * state depends only on the changes and their times. Not thread safe: one thread owns it.
 */
public final class ClaimRegistry {

  /** How long a claim is remembered after it was made. */
  public static final Duration RETENTION = Duration.ofHours(24);

  /** How long a release keeps a late claim of the same id from being granted. */
  public static final Duration RELEASE_MEMORY = Duration.ofMinutes(15);

  /** How many claims are remembered. */
  public static final int MAX_CLAIMS = 200_000;

  /** How many claims of one customer are remembered. */
  public static final int MAX_CLAIMS_OF_CUSTOMER = 100_000;

  /** How many releases are remembered. */
  public static final int MAX_RELEASES = 50_000;

  /** How many bytes of answers are kept, all together. */
  public static final long MAX_KEPT_BYTES = 32L * 1024 * 1024;

  private final LinkedHashMap<ClaimKey, Entry> entries = new LinkedHashMap<>();
  private final LinkedHashMap<ClaimId, Instant> released = new LinkedHashMap<>();
  private final Map<CustomerId, Integer> counts = new HashMap<>();
  private Instant latestLogTime = Instant.EPOCH;
  private long keptBytes;

  /**
   * Remembers one claim. Immutable and thread safe.
   *
   * @param outcome how the call ended; empty while that has not been told
   */
  public record Entry(
      ClaimKey key,
      ClaimId holder,
      Fingerprint fingerprint,
      Instant claimedAt,
      Duration runLimit,
      Optional<CallOutcome> outcome) {}

  /** Remembers when a claim was released. Immutable and thread safe. */
  public record Released(ClaimId id, Instant releasedAt) {}

  /**
   * Holds all of a book. Immutable and thread safe.
   *
   * @param entries the claims, oldest first
   * @param releases the releases, oldest first
   * @param latestLogTime the latest time that the log has given
   */
  public record Snapshot(List<Entry> entries, List<Released> releases, Instant latestLogTime) {

    /** Holds nothing. */
    public static final Snapshot EMPTY = new Snapshot(List.of(), List.of(), Instant.EPOCH);

    /** Copies the lists. */
    public Snapshot {
      entries = List.copyOf(entries);
      releases = List.copyOf(releases);
    }
  }

  /** Makes a book without claims. */
  public ClaimRegistry() {}

  /** Makes a book of what another one held. */
  public ClaimRegistry(Snapshot snapshot) {
    snapshot.entries().forEach(this::add);
    snapshot.releases().forEach(release -> released.put(release.id(), release.releasedAt()));
    latestLogTime = snapshot.latestLogTime();
  }

  /**
   * Applies a change that has its place in the log.
   *
   * @param at the time that the log gives it; an earlier one than the last counts as the last
   */
  public ClaimAnswer apply(ClaimChange change, Instant at) {
    latestLogTime = at.isAfter(latestLogTime) ? at : latestLogTime;
    forgetOld();
    return switch (change) {
      case ClaimChange.Claim claim -> claim(claim);
      case ClaimChange.Release release -> release(release);
      case ClaimChange.Settle settle -> settle(settle);
    };
  }

  /** Returns all that the book holds. */
  public Snapshot snapshot() {
    return new Snapshot(
        List.copyOf(entries.values()),
        released.entrySet().stream().map(r -> new Released(r.getKey(), r.getValue())).toList(),
        latestLogTime);
  }

  private ClaimAnswer claim(ClaimChange.Claim claim) {
    Entry entry = entries.get(claim.key());
    if (entry != null) {
      return answer(claim, entry);
    }
    if (released.containsKey(claim.id())) {
      return new ClaimAnswer.Withdrawn();
    }
    int ofCustomer = counts.getOrDefault(claim.key().customer(), 0);
    if (entries.size() >= MAX_CLAIMS || ofCustomer >= MAX_CLAIMS_OF_CUSTOMER) {
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

  private ClaimAnswer answer(ClaimChange.Claim claim, Entry entry) {
    if (!entry.fingerprint().equals(claim.fingerprint())) {
      return new ClaimAnswer.KeyReused();
    }
    if (entry.outcome().isPresent()) {
      return new ClaimAnswer.Ended(entry.outcome().get());
    }
    if (entry.holder().equals(claim.id())) {
      return new ClaimAnswer.Granted();
    }
    boolean overdue = latestLogTime.isAfter(entry.claimedAt().plus(entry.runLimit()));
    return overdue
        ? new ClaimAnswer.Ended(new CallOutcome.Unknown())
        : new ClaimAnswer.InProgress();
  }

  private ClaimAnswer release(ClaimChange.Release release) {
    released.putIfAbsent(release.id(), latestLogTime);
    Entry entry = entries.get(release.key());
    if (entry != null && entry.holder().equals(release.id()) && entry.outcome().isEmpty()) {
      entries.remove(release.key());
      forgotten(entry);
    }
    return new ClaimAnswer.Acknowledged();
  }

  private ClaimAnswer settle(ClaimChange.Settle settle) {
    Entry entry = entries.get(settle.key());
    if (entry != null && entry.holder().equals(settle.id()) && entry.outcome().isEmpty()) {
      CallOutcome callOutcome = fitting(settle.outcome());
      keptBytes += bytes(callOutcome);
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

  /** Returns the outcome, without its body where that finds no room. */
  private CallOutcome fitting(CallOutcome callOutcome) {
    return callOutcome instanceof CallOutcome.Answered answered
            && keptBytes + bytes(callOutcome) > MAX_KEPT_BYTES
        ? answered.withoutBody()
        : callOutcome;
  }

  private static long bytes(CallOutcome callOutcome) {
    return switch (callOutcome) {
      case CallOutcome.Answered o -> o.body().length();
      case CallOutcome.BodyNotKept o -> 0;
      case CallOutcome.AnswerLost o -> 0;
      case CallOutcome.Unknown o -> 0;
    };
  }

  private void add(Entry entry) {
    entries.put(entry.key(), entry);
    counts.merge(entry.key().customer(), 1, Integer::sum);
    keptBytes += entry.outcome().map(ClaimRegistry::bytes).orElse(0L);
  }

  private void forgotten(Entry entry) {
    counts.computeIfPresent(
        entry.key().customer(), (customer, count) -> count > 1 ? count - 1 : null);
    keptBytes -= entry.outcome().map(ClaimRegistry::bytes).orElse(0L);
  }

  private void forgetOld() {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (!latestLogTime.isAfter(entry.claimedAt().plus(RETENTION))) {
        break;
      }
      oldest.remove();
      forgotten(entry);
    }
    Iterator<Instant> releases = released.values().iterator();
    while (releases.hasNext()) {
      boolean old = latestLogTime.isAfter(releases.next().plus(RELEASE_MEMORY));
      if (!old && released.size() <= MAX_RELEASES) {
        break;
      }
      releases.remove();
    }
  }
}
