package org.cuminwell.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.RouteId;
import org.jspecify.annotations.Nullable;

/**
 * Decides on the heads of requests which ones a gateway at capacity refuses.
 *
 * <p>The gateway sheds load while each of the delays measured lately exceeds a part of the shortest
 * latency target. The admitted rate then falls until the delay does, and rises until nothing is
 * refused. Invariant: without such a standing delay nothing is refused. Not thread safe.
 */
public final class OverloadGuard {

  /**
   * The shortest window of {@link StandingDelay}. A process with less than one core is paused
   * within periods of 100 ms, so that one period alone does not show its delay.
   */
  private static final Duration MIN_WINDOW = Duration.ofMillis(200);

  /** The least bound, above the delays that the process's timers have anyway. */
  private static final Duration MIN_BOUND = Duration.ofMillis(20);

  /** A request passes the event loop about four times before its first event. */
  private static final int TARGET_PER_BOUND = 8;

  private static final Duration INTERVAL = Duration.ofMillis(100);

  private final Map<DelaySource, StandingDelay> delays = new EnumMap<>(DelaySource.class);
  private final RouteRoom room = new RouteRoom();
  private final AdmittedRate admitted;
  private Duration window = MIN_WINDOW;
  private Duration bound = MIN_BOUND;
  private Instant intervalStart;
  private @Nullable Shedding shedding;

  /** Creates a guard of a gateway that sheds nothing. */
  public OverloadGuard(Instant now) {
    admitted = new AdmittedRate(now);
    intervalStart = now;
    for (DelaySource source : DelaySource.values()) {
      delays.put(source, new StandingDelay());
    }
  }

  /** Sets the shortest latency target of the routes, from which the bound on the delay follows. */
  public void setShortestTarget(Duration target) {
    window = max(MIN_WINDOW, target.multipliedBy(3).dividedBy(4));
    bound = max(MIN_BOUND, target.dividedBy(TARGET_PER_BOUND));
  }

  /** Records how long something has been delayed. */
  public void recordDelay(DelaySource source, Duration delay, Instant now) {
    delaysOf(source).record(delay, window, now);
  }

  /** Records that a request of the route ended, and whether its endpoints lacked room for it. */
  public void recordEnded(RouteId route, boolean lackedRoom, Instant now) {
    room.record(route, lackedRoom, now);
  }

  /**
   * Begins or ends to shed load, or adjusts the rate; to be called at least every 100 ms; has no
   * effect within 100 ms of the last time that it had one.
   */
  public Optional<OverloadLogEvent> advance(Instant now) {
    if (now.isBefore(intervalStart.plus(INTERVAL))) {
      return Optional.empty();
    }
    intervalStart = now;
    Duration delay = standingDelay(now);
    boolean isDelayed = delay.compareTo(bound) > 0;
    admitted.endInterval(isDelayed, now);
    Shedding current = shedding;
    if (current == null) {
      return isDelayed ? Optional.of(begin(delay, now)) : Optional.empty();
    }
    current.adjust(admitted, delay, bound, now);
    if (isDelayed || !current.isIdle(now)) {
      return Optional.empty();
    }
    shedding = null;
    return Optional.of(current.ended(now));
  }

  private OverloadLogEvent begin(Duration delay, Instant now) {
    Shedding begun = new Shedding(admitted, delay, bound, now);
    shedding = begun;
    return new OverloadLogEvent.Began(longestDelaySource(now), delay, bound, begun.perSecond());
  }

  /** Returns whether load is shed, so that {@link #decide} is to be asked about each request. */
  public boolean isShedding() {
    return shedding != null;
  }

  /** Records a request that is handled without a decision, as no load is shed. */
  public void recordPassed(Instant now) {
    admitted.record(now);
  }

  /**
   * Decides on a request whose head has been received.
   *
   * @param delay how long it may have been delayed so far
   */
  public HeadDecision decide(RequestHead head, Duration delay, Instant now) {
    Shedding current = shedding;
    HeadDecision decision =
        current == null
            ? new HeadDecision.Admitted()
            : current.decide(head, room.hasRoom(head.route(), now), delay, now);
    if (decision instanceof HeadDecision.Admitted) {
      admitted.record(now);
    }
    return decision;
  }

  /**
   * Returns the delay that no request escapes. It is taken from a third of the window while load is
   * shed, so that the rate follows it sooner.
   */
  public Duration standingDelay(Instant now) {
    Duration counted = shedding == null ? window : window.dividedBy(3);
    return delays.values().stream()
        .map(source -> source.least(counted, now))
        .reduce(Duration.ZERO, Duration::plus);
  }

  private DelaySource longestDelaySource(Instant now) {
    Duration reading = delaysOf(DelaySource.READING).least(window, now);
    Duration deciding = delaysOf(DelaySource.DECIDING).least(window, now);
    return reading.compareTo(deciding) >= 0 ? DelaySource.READING : DelaySource.DECIDING;
  }

  private StandingDelay delaysOf(DelaySource source) {
    return delays.computeIfAbsent(source, _ -> new StandingDelay());
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }
}
