package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.control.AgreementNetwork.Broken;
import org.cuminwell.core.control.AgreementNetwork.Stalled;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds that a host whose disk takes nothing leaves the lead and still follows what is agreed. */
final class StalledDiskTest {

  private static final int SEEDS = 20;

  @ParameterizedTest(name = "{0}, for {1} s")
  @CsvSource({"LEADER, 9", "LEADER, 20", "FOLLOWER, 9", "FOLLOWER, 20"})
  void ticketsAreAnsweredAtEveryHostWhileOneDiskIsStalled(Stalled which, int seconds) {
    for (long seed = 0; seed < SEEDS; seed++) {
      AgreementNetwork network = new AgreementNetwork(3, seed, Broken.NOTHING);
      AgreementHistory history = network.runWithStalledDisk(which, Duration.ofSeconds(seconds));

      assertThat(history.faults()).as("seed %d", seed).isEmpty();
      assertThat(history.failed()).as("seed %d", seed).isEmpty();
    }
  }
}
