package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;

/**
 * Controls the rate of admitted requests from the time at which load began to be shed.
 *
 * <p>Not thread safe.
 */
final class Shedding {

  private static final Duration CONTROL_INTERVAL = Duration.ofMillis(100);

  /** How long nothing may be refused before all requests are admitted again. */
  private static final Duration IDLE_TIME = Duration.ofMillis(500);

  /** The least rate, in requests per second, from which the rate can rise again. */
  private static final double MIN_RATE = 2;

  private static final double STRONGEST_DECREASE = 0.5;
  private static final double WEAKEST_DECREASE = 0.9;
  private static final double INCREASE = 1.25;
  private static final double PROBING_INCREASE = 1.02;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  /** Callers follow a Retry-After up to this part of the time that they have left. */
  private static final int TIME_LEFT_PER_WAIT = 3;

  /**
   * How much shorter than its target the delay of a request must be. Requests that are admitted in
   * any case pass the loop about four times; those at the margin give way to them, and late retries
   * run only while nearly nothing waits.
   */
  private static final int TARGET_PER_DELAY = 3;

  private static final int TARGET_PER_DELAY_AT_MARGIN = 8;
  private static final int TARGET_PER_DELAY_IF_LATE = 24;

  private static final double MIN_JITTER = 0.7;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ADMISSION = 0;
  private static final int JITTER = 1;

  private final Instant begunAt;
  private final AdmissionPlan plan = new AdmissionPlan();
  private final RetryCredits credits = new RetryCredits();
  private double perSecond;

  private double tokens;
  private Instant refilledAt;
  private Instant refusedAt;
  private long refused;

  /**
   * Begins to shed load.
   *
   * @param admitted the rate at which requests were handled lately
   */
  Shedding(AdmittedRate admitted, Duration delay, Duration bound, Instant now) {
    begunAt = now;
    refilledAt = now;
    refusedAt = now;
    perSecond = Math.max(admitted.recentPerSecond(now), admitted.provenPerSecond());
    decrease(delay, bound);
  }

  /** Returns how many requests are admitted per second. */
  double perSecond() {
    return perSecond;
  }

  /** Adjusts the rate to the delay at the end of an interval. */
  void adjust(AdmittedRate admitted, Duration delay, Duration bound, Instant now) {
    if (delay.compareTo(bound) > 0) {
      perSecond = Math.min(perSecond, admitted.recentPerSecond(now));
      decrease(delay, bound);
    } else if (delay.multipliedBy(2).compareTo(bound) <= 0) {
      increase(admitted.provenPerSecond(), now);
    }
    credits.expire(now);
    plan.divide(perSecond, now);
  }

  /**
   * Decides on a request.
   *
   * @param hasRoom whether the endpoints of its route have room
   * @param delay how long it may have been delayed so far
   */
  HeadDecision decide(RequestHead head, boolean hasRoom, Duration delay, Instant now) {
    Turn turn = turn(head, credits.take(head, now));
    AdmissionPlan.Group group =
        new AdmissionPlan.Group(head.customerRank(), head.routeRank(), hasRoom);
    double part = plan.offer(group, head.customer(), turn, perSecond, now);
    boolean isLate =
        delay.multipliedBy(targetPerDelay(turn, part)).compareTo(head.latencyTarget()) > 0;
    refill(now);
    boolean isInRate = part >= 1 || (tokens >= 1 && head.uniform(ADMISSION) < part);
    if (!isLate && isInRate) {
      tokens = Math.max(-maxTokens(), tokens - 1);
      return new HeadDecision.Admitted();
    }
    refused++;
    refusedAt = now;
    Duration retryAfter = retryAfter(head, part, delay);
    credits.add(head, now.plus(retryAfter));
    return new HeadDecision.Refused(retryAfter);
  }

  /** Returns whether nothing has been refused for some time. */
  boolean isIdle(Instant now) {
    return !now.isBefore(refusedAt.plus(IDLE_TIME));
  }

  OverloadLogEvent.Ended ended(Instant now) {
    return new OverloadLogEvent.Ended(Duration.between(begunAt, now), refused);
  }

  private static Turn turn(RequestHead head, boolean isExpectedRetry) {
    if (head.timeSpent().compareTo(head.latencyTarget()) >= 0) {
      return Turn.LATE_RETRY;
    }
    boolean hasWaited = head.timeSpent().compareTo(MIN_RETRY_AFTER.dividedBy(2)) >= 0;
    return hasWaited || isExpectedRetry ? Turn.RETRY : Turn.NEW;
  }

  private static int targetPerDelay(Turn turn, double part) {
    return switch (turn) {
      case LATE_RETRY -> TARGET_PER_DELAY_IF_LATE;
      case RETRY, NEW -> part >= 1 ? TARGET_PER_DELAY : TARGET_PER_DELAY_AT_MARGIN;
    };
  }

  /**
   * Returns the time to drain what waits and is owed a retry. It is longer the less likely the
   * retry is to be admitted, since callers that are refused again and again cost the rate of
   * others.
   */
  private Duration retryAfter(RequestHead head, double part, Duration delay) {
    double mostNanos = (double) head.timeLeft().toNanos() / TIME_LEFT_PER_WAIT;
    double drainNanos =
        (double) delay.toNanos() + (credits.size() + 1) / perSecond * NANOS_PER_SECOND;
    double nanos = Math.min(mostNanos, Math.max(drainNanos, (1 - part) * mostNanos));
    double jitter = MIN_JITTER + (1 - MIN_JITTER) * head.uniform(JITTER);
    return Duration.ofNanos((long) (Math.max(nanos, (double) MIN_RETRY_AFTER.toNanos()) * jitter));
  }

  /** Adds what has become due, so that requests of a short time don't exceed the rate. */
  private void refill(Instant now) {
    double elapsedNanos = (double) Duration.between(refilledAt, now).toNanos();
    tokens = Math.min(maxTokens(), tokens + perSecond * elapsedNanos / NANOS_PER_SECOND);
    refilledAt = now;
  }

  private double maxTokens() {
    return Math.max(1, perSecond * CONTROL_INTERVAL.toNanos() / NANOS_PER_SECOND);
  }

  private void decrease(Duration delay, Duration bound) {
    double ratio = (double) bound.toNanos() / Math.max(1, delay.toNanos());
    perSecond =
        Math.max(MIN_RATE, perSecond * Math.clamp(ratio, STRONGEST_DECREASE, WEAKEST_DECREASE));
  }

  /**
   * Raises the rate: quickly up to one that was handled without delay before, slowly above it. It
   * stays near what is offered, since above that it would only delay the next decrease.
   */
  private void increase(double proven, Instant now) {
    double factor = perSecond < proven ? INCREASE : PROBING_INCREASE;
    double most = INCREASE * Math.max(MIN_RATE, plan.offeredPerSecond(now));
    perSecond = Math.max(perSecond, Math.min(perSecond * factor, most));
  }
}
