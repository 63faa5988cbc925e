package org.cuminwell.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.cuminwell.core.membership.EndpointTable.Entry;
import org.cuminwell.core.membership.LoadReport;

/**
 * Estimates the work at one endpoint by its last report and what this gateway did since.
 *
 * <p>Reports come late, so what was sent up to {@link #REPORT_LAG} before a report came counts as
 * not yet in it. Without a fresh report only this gateway's own requests count. Invariant: memory
 * is bounded by the requests of {@link #REPORT_MAX_AGE}. Not thread safe: one thread owns it.
 */
final class EndpointLoad {

  /** How much earlier than its arrival a report may have been taken. */
  static final Duration REPORT_LAG = Duration.ofMillis(150);

  /** How long a report counts. */
  static final Duration REPORT_MAX_AGE = Duration.ofSeconds(3);

  private static final Duration FAILURE_HALF_LIFE = Duration.ofSeconds(5);
  private static final long UNKNOWN = -1;
  private static final double SERVICE_TIME_WEIGHT = 0.1;

  private final ArrayDeque<Step> steps = new ArrayDeque<>();
  private long incarnation = UNKNOWN;
  private long sequence = UNKNOWN;
  private int changed;
  private int reported;
  private Instant reportedAt = Instant.MIN;
  private int outstanding;
  private final FadingSum failures = FadingSum.ofHalfLife(FAILURE_HALF_LIFE);
  private double serviceMillis;

  private record Step(Instant at, int change) {}

  /** Takes in what the membership table knows. */
  void observe(Entry entry, Instant now) {
    long news = entry.announcement().incarnation();
    if (incarnation != news) {
      if (incarnation != UNKNOWN) {
        restarted();
      }
      incarnation = news;
    }
    entry.load().filter(load -> load.reportedSequence() != sequence).ifPresent(l -> take(l, now));
  }

  private void restarted() {
    sequence = UNKNOWN;
    reportedAt = Instant.MIN;
    failures.clear();
    changed = 0;
    steps.clear();
  }

  void sent(Instant now) {
    outstanding++;
    step(now, 1);
  }

  /** Counts the end of a request after {@code took}; failed ones weigh against the endpoint. */
  void ended(Duration took, boolean failed, Instant now) {
    outstanding = Math.max(0, outstanding - 1);
    step(now, -1);
    if (failed) {
      failures.add(1, now);
    } else {
      double millis = took.toNanos() / 1e6;
      serviceMillis =
          serviceMillis == 0
              ? millis
              : serviceMillis + SERVICE_TIME_WEIGHT * (millis - serviceMillis);
    }
  }

  /** Returns how many requests of this gateway the endpoint holds. */
  int outstanding() {
    return outstanding;
  }

  /** Returns how many requests the endpoint holds, as far as can be told. */
  int requests(Instant now) {
    if (reportedAt.equals(Instant.MIN) || now.isAfter(reportedAt.plus(REPORT_MAX_AGE))) {
      return outstanding;
    }
    return Math.max(outstanding, reported + changed);
  }

  /** Returns the recent failures, halved every five seconds. */
  double failures(Instant now) {
    return failures.at(now);
  }

  /** Returns the mean time that a request takes here, in milliseconds, or 0 if none has ended. */
  double serviceMillis() {
    return serviceMillis;
  }

  /** Returns whether nothing would be lost by forgetting the endpoint. */
  boolean isIdle(Instant now) {
    return outstanding == 0 && failures(now) < 0.1;
  }

  private void take(LoadReport load, Instant now) {
    sequence = load.reportedSequence();
    reported = load.running() + load.queued();
    reportedAt = now;
    forgetBefore(now.minus(REPORT_LAG));
  }

  private void step(Instant now, int change) {
    steps.add(new Step(now, change));
    changed += change;
    forgetBefore(now.minus(REPORT_MAX_AGE));
  }

  private void forgetBefore(Instant time) {
    while (!steps.isEmpty() && steps.element().at().isBefore(time)) {
      changed -= steps.remove().change();
    }
  }
}
