package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.control.SimulatedCluster.BrokenRule;
import org.cuminwell.core.control.SimulatedCluster.StalledHost;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a leader whose disk stalls stops leading, and that a host with a stalled disk still
 * follows and answers tickets.
 */
final class StalledDiskTest {

  private static final int SEEDS = 20;

  @ParameterizedTest(name = "{0}, for {1} s")
  @CsvSource({"LEADER, 9", "LEADER, 20", "FOLLOWER, 9", "FOLLOWER, 20"})
  void ticketsAreAnsweredAtEveryHostWhileOneDiskIsStalled(StalledHost which, int seconds) {
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedCluster network = new SimulatedCluster(3, seed, BrokenRule.NOTHING);
      StateMachineHistory history = network.runWithStalledDisk(which, Duration.ofSeconds(seconds));

      assertThat(history.faults()).as("seed %d", seed).isEmpty();
      assertThat(history.failedSubmissions()).as("seed %d", seed).isEmpty();
    }
  }
}
