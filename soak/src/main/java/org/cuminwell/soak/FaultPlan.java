package org.cuminwell.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Lists the faults of a run and their times. The seed determines the plan. Immutable and thread
 * safe.
 *
 * @param steps the faults in the order of their times
 */
record FaultPlan(List<Step> steps) {

  private static final Duration SETTLE = Duration.ofSeconds(5);

  /** The part of a run with an even seed in which the endpoints are sound. */
  private static final double CALM_PART = 0.6;

  /** The same with an odd seed, so that retries are needed while gateways stop. */
  private static final double SHORT_CALM_PART = 0.1;

  /** Places a fault in the run. */
  record Step(Duration at, Fault fault) {}

  /** Copies the list. */
  FaultPlan {
    steps = List.copyOf(steps);
  }

  /**
   * Draws the plan of a run that lasts for {@code duration}. With even seeds the endpoints are
   * sound for most of the run, with odd ones only at its start.
   */
  static FaultPlan draw(long seed, Duration duration, int gateways) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Step> steps = new ArrayList<>();
    double calmPart = seed % 2 == 0 ? CALM_PART : SHORT_CALM_PART;
    Duration troubleFrom = Duration.ofMillis((long) (duration.toMillis() * calmPart));
    Duration at = SETTLE;
    while (at.compareTo(duration.minus(Bounds.GRACE)) < 0) {
      int first = random.nextInt(gateways);
      int series = 1 + random.nextInt(gateways);
      boolean overlaps = random.nextBoolean();
      for (int i = 0; i < series && at.compareTo(duration.minus(Bounds.GRACE)) < 0; i++) {
        Duration restartAfter = millis(random, 0, 1_500);
        steps.add(new Step(at, new Fault.StopGateway((first + i) % gateways, restartAfter)));
        at = at.plus(overlaps ? millis(random, 200, 3_000) : millis(random, 6_000, 10_000));
      }
      if (random.nextBoolean()) {
        steps.add(new Step(at, new Fault.HangUpGateway(random.nextInt(gateways))));
      }
      at = at.plus(millis(random, 500, 4_000));
    }
    addTrouble(random, troubleFrom, duration, steps);
    steps.sort(Comparator.comparing(Step::at));
    return new FaultPlan(steps);
  }

  private static void addTrouble(
      SplittableRandom random, Duration from, Duration to, List<Step> steps) {
    Duration at = from;
    while (at.compareTo(to) < 0) {
      Duration lasts = millis(random, 3_000, 12_000);
      Endpoint.Trouble trouble =
          new Endpoint.Trouble(
              random.nextDouble(0.9), random.nextDouble(0.9), random.nextDouble(0.4));
      steps.add(new Step(at, new Fault.TroubleEndpoints(trouble, lasts)));
      at = at.plus(lasts).plus(millis(random, 500, 4_000));
    }
  }

  private static Duration millis(SplittableRandom random, int from, int to) {
    return Duration.ofMillis(random.nextInt(from, to));
  }
}
