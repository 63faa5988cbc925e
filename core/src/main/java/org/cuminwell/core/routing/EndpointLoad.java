package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.membership.LoadReport;

/**
 * Estimates the number of requests at one endpoint from its last load report and from what this
 * gateway has sent and completed since.
 *
 * <p>Reports arrive late, so changes of the last {@link #REPORT_LAG} before the arrival of a report
 * count as not yet included in it. Without a fresh report only this gateway's own requests count.
 * Invariant: memory is bounded by the requests sent within {@link #REPORT_MAX_AGE}. Not thread
 * safe: one thread owns it.
 */
final class EndpointLoad {

  /** The assumed age of a report when it arrives. */
  static final Duration REPORT_LAG = Duration.ofMillis(150);

  /** How long a report is valid after its arrival. */
  static final Duration REPORT_MAX_AGE = Duration.ofSeconds(3);

  private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(5);
  private static final long NONE_SEEN = -1;

  /** The weight of a new duration in the moving mean of the service time. */
  private static final double SERVICE_TIME_WEIGHT = 0.1;

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long incarnation = NONE_SEEN;
  private long sequence = NONE_SEEN;
  private int changeSinceReport;
  private int reportedRequests;
  private Instant reportedAt = Instant.MIN;
  private int outstanding;
  private final DecayingSum recentFailures = DecayingSum.ofHalfLife(FAILURE_HALF_LIFE);
  private double meanServiceMillis;

  private record Change(Instant at, int delta) {}

  /**
   * Updates the estimate from the endpoint's announcement and load report, and resets it if the
   * endpoint has restarted.
   */
  void observe(Entry entry, Instant now) {
    long announcedIncarnation = entry.announcement().incarnation();
    if (incarnation != announcedIncarnation) {
      if (incarnation != NONE_SEEN) {
        reset();
      }
      incarnation = announcedIncarnation;
    }
    entry
        .load()
        .filter(load -> load.reportedSequence() != sequence)
        .ifPresent(load -> applyReport(load, now));
  }

  /** Discards the state of an earlier incarnation; outstanding requests count until they end. */
  private void reset() {
    sequence = NONE_SEEN;
    reportedAt = Instant.MIN;
    recentFailures.clear();
    changeSinceReport = 0;
    changes.clear();
  }

  void recordSent(Instant now) {
    outstanding++;
    addChange(now, 1);
  }

  /**
   * Records the end of a request after {@code took}. A failure adds to the recent failures; a
   * success updates the mean service time.
   */
  void recordEnded(Duration took, boolean failed, Instant now) {
    outstanding = Math.max(0, outstanding - 1);
    addChange(now, -1);
    if (failed) {
      recentFailures.add(1, now);
    } else {
      double millis = took.toNanos() / 1e6;
      meanServiceMillis =
          meanServiceMillis == 0
              ? millis
              : meanServiceMillis + SERVICE_TIME_WEIGHT * (millis - meanServiceMillis);
    }
  }

  /** Returns how many of this gateway's requests are outstanding at the endpoint. */
  int outstanding() {
    return outstanding;
  }

  /** Returns the estimated number of requests at the endpoint, those of other gateways included. */
  int estimatedRequests(Instant now) {
    if (reportedAt.equals(Instant.MIN) || now.isAfter(reportedAt.plus(REPORT_MAX_AGE))) {
      return outstanding;
    }
    return Math.max(outstanding, reportedRequests + changeSinceReport);
  }

  /** Returns the number of recent failures, which decays by half every five seconds. */
  double recentFailures(Instant now) {
    return recentFailures.valueAt(now);
  }

  /**
   * Returns the mean duration of a request at this endpoint in milliseconds, or 0 if none has
   * completed.
   */
  double meanServiceMillis() {
    return meanServiceMillis;
  }

  /**
   * Returns whether the endpoint has no outstanding requests and no recent failures, so that its
   * state can be dropped.
   */
  boolean isIdle(Instant now) {
    return outstanding == 0 && recentFailures(now) < 0.1;
  }

  private void applyReport(LoadReport load, Instant now) {
    sequence = load.reportedSequence();
    reportedRequests = load.running() + load.queued();
    reportedAt = now;
    discardChangesBefore(now.minus(REPORT_LAG));
  }

  private void addChange(Instant now, int delta) {
    changes.add(new Change(now, delta));
    changeSinceReport += delta;
    discardChangesBefore(now.minus(REPORT_MAX_AGE));
  }

  private void discardChangesBefore(Instant time) {
    while (!changes.isEmpty() && changes.element().at().isBefore(time)) {
      changeSinceReport -= changes.remove().delta();
    }
  }
}
