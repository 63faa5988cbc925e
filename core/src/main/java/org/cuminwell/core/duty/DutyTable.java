package org.cuminwell.core.duty;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the duties' holders and tokens, and the usage reports that are fixed.
 *
 * <p>Invariants: a duty's token only grows; a window has one report; the state is a function of the
 * applied changes and their times. Not thread safe: the owner of the replicated state owns it.
 */
public final class DutyTable {

  /** Bounds the unconfirmed reports while the platform can't be reached: an hour of 5 s windows. */
  static final int MAX_UNCONFIRMED_REPORTS = 720;

  /** Bounds the counts in unconfirmed reports, which take about 100 bytes each. */
  static final int MAX_UNCONFIRMED_COUNTS = 50_000;

  private final Map<Duty, DutyHolding> holdings = new EnumMap<>(Duty.class);
  private final Deque<UsageWindow> unconfirmed = new ArrayDeque<>();
  private OptionalLong lastRecorded;
  private int unconfirmedCounts;
  private long droppedReports;

  /** Creates the table in the state of the snapshot. */
  public DutyTable(DutySnapshot snapshot) {
    holdings.putAll(snapshot.holdings());
    lastRecorded = snapshot.lastRecorded();
    droppedReports = snapshot.droppedReports();
    snapshot.unconfirmed().forEach(this::addUnconfirmed);
  }

  /**
   * Applies the next change and returns whether it had an effect.
   *
   * @param at when the leader proposed it
   */
  public boolean apply(DutyChange change, Instant at) {
    return switch (change) {
      case DutyChange.Take c -> take(c, at);
      case DutyChange.RecordUsage c -> record(c);
      case DutyChange.ConfirmUsage c -> confirm(c.window());
    };
  }

  /** Returns the whole state. */
  public DutySnapshot snapshot() {
    return new DutySnapshot(holdings, lastRecorded, List.copyOf(unconfirmed), droppedReports);
  }

  /** Returns who holds the duty; empty if nobody ever did. */
  public Optional<DutyHolding> holding(Duty duty) {
    return Optional.ofNullable(holdings.get(duty));
  }

  /** Returns the last window whose report is fixed. */
  public OptionalLong lastRecorded() {
    return lastRecorded;
  }

  /** Returns the fixed reports that the platform is not known to have, in the order of windows. */
  public List<UsageWindow> unconfirmed() {
    return List.copyOf(unconfirmed);
  }

  /** Returns the first of them. */
  public Optional<UsageWindow> firstUnconfirmed() {
    return Optional.ofNullable(unconfirmed.peekFirst());
  }

  /** Returns how many they are. */
  public int unconfirmedCount() {
    return unconfirmed.size();
  }

  /** Returns how many fixed reports were dropped. */
  public long droppedReports() {
    return droppedReports;
  }

  private boolean take(DutyChange.Take change, Instant at) {
    long token = holding(change.duty()).map(DutyHolding::token).orElse(0L);
    if (token != change.basis()) {
      return false;
    }
    Instant takenAt = at.truncatedTo(ChronoUnit.MILLIS);
    holdings.put(
        change.duty(), new DutyHolding(change.holder(), change.term(), token + 1, takenAt));
    return true;
  }

  private boolean record(DutyChange.RecordUsage change) {
    long window = change.report().window();
    boolean isNext = lastRecorded.isEmpty() || window > lastRecorded.getAsLong();
    boolean isHolder =
        holding(Duty.USAGE_REPORT).filter(h -> h.token() == change.token()).isPresent();
    if (!isNext || !isHolder) {
      return false;
    }
    lastRecorded = OptionalLong.of(window);
    addUnconfirmed(change.report());
    while (unconfirmed.size() > 1 && isOverfull()) {
      unconfirmedCounts -= unconfirmed.removeFirst().counts().size();
      droppedReports++;
    }
    return true;
  }

  private void addUnconfirmed(UsageWindow report) {
    unconfirmed.addLast(report);
    unconfirmedCounts += report.counts().size();
  }

  private boolean isOverfull() {
    return unconfirmed.size() > MAX_UNCONFIRMED_REPORTS
        || unconfirmedCounts > MAX_UNCONFIRMED_COUNTS;
  }

  private boolean confirm(long window) {
    boolean removed = false;
    while (!unconfirmed.isEmpty() && unconfirmed.getFirst().window() <= window) {
      unconfirmedCounts -= unconfirmed.removeFirst().counts().size();
      removed = true;
    }
    return removed;
  }
}
