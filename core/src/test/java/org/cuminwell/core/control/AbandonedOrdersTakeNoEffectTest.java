package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cuminwell.core.control.SimulatedOperator.BrokenRule;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an order that its sender has given up undoing a later one that was acknowledged,
 * as when it waited in the socket of a frozen host. Also checks that orders are acknowledged once
 * nothing fails, and that the checker detects a violated rule.
 */
final class AbandonedOrdersTakeNoEffectTest {

  private static final int MIN_ACKNOWLEDGED = 10;

  /** Names the orders of a run. */
  enum Kind {
    EVACUATIONS,
    ROLLOUTS
  }

  @ParameterizedTest(name = "{0} hosts, seeds {1} to {2}, {3}")
  @CsvSource({
    "1, 0, 100, EVACUATIONS",
    "3, 1000, 2500, EVACUATIONS",
    "5, 3000, 3300, EVACUATIONS",
    "6, 4000, 4300, EVACUATIONS",
    "3, 1000, 2000, ROLLOUTS",
    "6, 4000, 4300, ROLLOUTS"
  })
  void noAbandonedOrderUndoesALaterOne(int size, long first, long end, Kind kind) {
    Map<Long, List<String>> faults = new TreeMap<>();
    int acknowledged = 0;
    for (long seed = first; seed < end; seed++) {
      OrderHistory history = run(size, seed, BrokenRule.NOTHING, kind);
      acknowledged += history.acknowledged();
      if (!history.faults().isEmpty()) {
        faults.put(seed, history.faults().subList(0, Math.min(3, history.faults().size())));
      }
    }
    assertThat(faults).isEmpty();
    assertThat(acknowledged).isGreaterThan((int) (end - first) * MIN_ACKNOWLEDGED);
  }

  @ParameterizedTest(name = "{0}, {1}")
  @CsvSource({
    "AGE_FROM_READING, EVACUATIONS",
    "AGE_FROM_READING, ROLLOUTS",
    "NO_BASIS, EVACUATIONS",
    "NO_BASIS, ROLLOUTS",
    "DISCONNECT_NOT_CHECKED, EVACUATIONS",
    "DISCONNECT_NOT_CHECKED, ROLLOUTS"
  })
  void detectsABrokenRule(BrokenRule broken, Kind kind) {
    long seed = 1000;
    while (seed < 2500 && run(3, seed, broken, kind).faults().isEmpty()) {
      seed++;
    }
    assertThat(seed).as("a seed with a fault").isLessThan(2500);
  }

  /** Runs two operators of one subject and one of another, beside faults of every kind. */
  private static OrderHistory run(int size, long seed, BrokenRule broken, Kind kind) {
    SimulatedCluster cluster =
        new SimulatedCluster(size, seed, SimulatedCluster.BrokenRule.NOTHING);
    OrderHistory history = new OrderHistory();
    SplittableRandom random = new SplittableRandom(seed * 31);
    for (String subject : List.of("one", "one", "two")) {
      SplittableRandom own = random.split();
      Supplier<OperatorOrder> orders = () -> randomOrder(kind, subject, own);
      cluster.addOperator(
          history, new SimulatedOperator(cluster, history, random.split(), broken, orders));
    }
    cluster.run();
    return history;
  }

  private static OperatorOrder randomOrder(Kind kind, String subject, SplittableRandom random) {
    return switch (kind) {
      case EVACUATIONS ->
          new OperatorOrder.Evacuate(new DataCentreId(subject), random.nextInt(3) > 0);
      case ROLLOUTS -> SimulatedCluster.rolloutTo(subject, new VersionId("v" + random.nextInt(3)));
    };
  }
}
