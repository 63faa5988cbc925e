package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminwell.core.control.SimulatedCluster.BrokenRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that all control hosts agree on one order of tickets while the network loses, duplicates
 * and reorders messages, hosts crash, freeze or lose their disks, and machines are replaced by
 * empty ones at other addresses. Also checks that the checker detects a violated rule.
 */
final class StateMachineHistoryTest {

  @ParameterizedTest(name = "{0} hosts, founded by {1}, seeds {2} to {3}")
  @CsvSource({
    "1, 1, 0, 100",
    "3, 3, 1000, 2000",
    "4, 3, 200300, 201000",
    "5, 5, 2000, 2300",
    "6, 3, 3000, 3300"
  })
  void agreesOnOneOrderOfTickets(int size, int founders, long first, long end) {
    Map<Long, List<String>> faults = new TreeMap<>();
    int accepted = 0;
    for (long seed = first; seed < end; seed++) {
      StateMachineHistory history =
          new SimulatedCluster(size, founders, seed, BrokenRule.NOTHING).run();
      accepted += history.accepted();
      if (!history.faults().isEmpty()) {
        faults.put(seed, history.faults().subList(0, Math.min(3, history.faults().size())));
      }
    }
    assertThat(faults).isEmpty();
    assertThat(accepted).isGreaterThan((int) (end - first) * 5);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"EMPTY_DISK_VOTES", "ACKNOWLEDGES_BEFORE_SYNC"})
  void detectsABrokenRule(BrokenRule broken) {
    long seed = 1000;
    while (seed < 2000 && new SimulatedCluster(3, seed, broken).run().faults().isEmpty()) {
      seed++;
    }
    assertThat(seed).as("a seed with a fault").isLessThan(2000);
  }
}
