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
 * and reorders messages and hosts crash, freeze or lose their disks. Also checks that the checker
 * detects a violated rule.
 */
final class StateMachineHistoryTest {

  @ParameterizedTest(name = "{0} hosts, seeds {1} to {2}")
  @CsvSource({"1, 0, 100", "3, 1000, 2000", "5, 2000, 2300"})
  void agreesOnOneOrderOfTickets(int size, long first, long end) {
    Map<Long, List<String>> faults = new TreeMap<>();
    int accepted = 0;
    for (long seed = first; seed < end; seed++) {
      StateMachineHistory history = new SimulatedCluster(size, seed, BrokenRule.NOTHING).run();
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
