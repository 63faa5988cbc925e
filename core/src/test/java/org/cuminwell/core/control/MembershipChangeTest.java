package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cuminwell.core.control.SimulatedCluster.BrokenRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against voters that hosts take from their settings or from the founding, and that can't be
 * replaced: after lost disks or replaced machines that are to be borne, no host could decide any
 * more, or two sets of hosts each decided without the other.
 */
final class MembershipChangeTest {

  private static final int SEEDS = 20;
  private static final Duration CATCH_UP = Duration.ofSeconds(4);
  private static final Duration SHORT_FREEZE = Duration.ofMillis(1_500);
  private static final Duration OFF_TIME = Duration.ofMillis(2_500);
  private static final int MAX_FREEZES = 60;

  static Stream<Arguments> losses() {
    return Stream.of(
        row("a disk is lost", 3, MembershipChangeTest::loseFollowersDisk),
        row("the leader's disk is lost", 3, c -> loseDisks(c, List.of(c.leader()))),
        row("each machine is replaced in turn", 3, MembershipChangeTest::replaceEachInTurn),
        row("each machine of six is replaced in turn", 6, MembershipChangeTest::replaceEachInTurn),
        row("each disk is lost in turn", 6, MembershipChangeTest::loseEachDiskInTurn),
        row("two founders' disks are lost at once", 6, c -> loseDisks(c, c.hosts().subList(0, 2))),
        row("two other disks are lost at once", 6, c -> loseDisks(c, c.hosts().subList(4, 6))),
        row("a disk is lost again while its host joins", 3, MembershipChangeTest::loseTwice),
        row("a successor loses its disk while it joins", 3, MembershipChangeTest::loseSuccessor),
        row("all lose power while the voters change", 6, MembershipChangeTest::loseAllPower),
        row("a machine is replaced while another is frozen", 6, c -> replaceBesideFreeze(c)),
        row("a frozen voter comes back after it was dropped", 6, c -> freezeForLong(c)),
        row("a host whose disk was lost leads, then two lose power", 6, c -> leadAfterLoss(c)));
  }

  /**
   * Plays a change that only one majority has seen: a successor takes the place of a voter that is
   * off while a third one is cut off, and then those two meet.
   */
  @ParameterizedTest(name = "cut off {0} ms after the loss of power")
  @ValueSource(ints = {1_000, 1_200, 1_300, 1_400, 1_500, 1_600, 1_800})
  void replacedVotersDecideNothingWithoutTheOthers(int cutAfterMillis) {
    Map<Long, List<String>> faults = new TreeMap<>();
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(3, 3, seed, BrokenRule.NOTHING);
      cluster.startQuietly();
      replaceVoterThatIsOff(cluster, Duration.ofMillis(cutAfterMillis));
      StateMachineHistory history = cluster.settle();
      if (!history.faults().isEmpty()) {
        faults.put(seed, history.faults());
      }
    }
    assertThat(faults).isEmpty();
  }

  @ParameterizedTest(name = "{0}, {1} hosts")
  @MethodSource("losses")
  void clusterDecidesAndBearsAsMuchAsBefore(
      String name, int size, Consumer<SimulatedCluster> losses) {
    Map<Long, List<String>> faults = new TreeMap<>();
    for (long seed = 0; seed < SEEDS; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(size, 3, seed, BrokenRule.NOTHING);
      cluster.startQuietly();
      cluster.submitAt(cluster.follower());
      cluster.advance(Duration.ofSeconds(1));
      losses.accept(cluster);
      StateMachineHistory history = cluster.settle();
      if (!history.faults().isEmpty() || !history.failedSubmissions().isEmpty()) {
        faults.put(seed, history.faults());
      }
    }
    assertThat(faults).as(name).isEmpty();
  }

  private static void replaceVoterThatIsOff(SimulatedCluster cluster, Duration cutAfter) {
    SimulatedHost leader = cluster.leader();
    SimulatedHost off = cluster.follower();
    SimulatedHost cutOff =
        cluster.hosts().stream()
            .filter(host -> host != leader && host != off)
            .findFirst()
            .orElseThrow();
    SimulatedHost added = cluster.addMachine();
    cluster.powerOff(off);
    cluster.powerOn(added);
    cluster.advance(cutAfter);
    cluster.cut(cutOff, leader);
    cluster.cut(cutOff, added);
    cluster.advance(OFF_TIME.minus(cutAfter));
    cluster.cut(off, leader);
    cluster.cut(off, added);
    cluster.powerOn(off);
    for (int i = 0; i < 5; i++) {
      cluster.hosts().forEach(cluster::submitAt);
      cluster.advance(Duration.ofSeconds(1));
    }
    cluster.joinAll();
  }

  private static void loseFollowersDisk(SimulatedCluster cluster) {
    loseDisks(cluster, List.of(cluster.follower()));
  }

  /** Takes the disks of the hosts at the same moment; the hosts are back after a second. */
  private static void loseDisks(SimulatedCluster cluster, List<SimulatedHost> hosts) {
    hosts.forEach(cluster::powerOff);
    hosts.forEach(cluster::loseDisk);
    cluster.advance(Duration.ofSeconds(1));
    hosts.forEach(cluster::powerOn);
  }

  private static void replaceEachInTurn(SimulatedCluster cluster) {
    for (SimulatedHost host : cluster.hosts()) {
      startLater(cluster, cluster.replace(host));
      cluster.advance(CATCH_UP);
      cluster.submitAt(cluster.follower());
      cluster.advance(Duration.ofSeconds(1));
    }
  }

  private static void loseEachDiskInTurn(SimulatedCluster cluster) {
    for (SimulatedHost host : cluster.hosts()) {
      loseDisks(cluster, List.of(host));
      cluster.advance(CATCH_UP);
    }
  }

  private static void loseTwice(SimulatedCluster cluster) {
    SimulatedHost host = cluster.follower();
    loseDisks(cluster, List.of(host));
    cluster.advance(Duration.ofMillis(400));
    loseDisks(cluster, List.of(host));
  }

  private static void loseSuccessor(SimulatedCluster cluster) {
    SimulatedHost successor = cluster.replace(cluster.follower());
    startLater(cluster, successor);
    cluster.advance(Duration.ofMillis(600));
    loseDisks(cluster, List.of(successor));
  }

  private static void loseAllPower(SimulatedCluster cluster) {
    startLater(cluster, cluster.replace(cluster.follower()));
    cluster.advance(Duration.ofMillis(700));
    List<SimulatedHost> all = cluster.hosts();
    all.forEach(cluster::powerOff);
    cluster.advance(Duration.ofSeconds(1));
    all.forEach(cluster::powerOn);
  }

  private static void replaceBesideFreeze(SimulatedCluster cluster) {
    SimulatedHost frozen = cluster.leader();
    SimulatedHost removed = cluster.follower();
    cluster.freeze(frozen, Duration.ofSeconds(6));
    startLater(cluster, cluster.replace(removed));
    cluster.advance(Duration.ofSeconds(10));
  }

  private static void freezeForLong(SimulatedCluster cluster) {
    cluster.freeze(cluster.follower(), Duration.ofSeconds(8));
    cluster.advance(Duration.ofSeconds(9));
  }

  /** Plays review/2 whichever host leads. */
  private static void leadAfterLoss(SimulatedCluster cluster) {
    SimulatedHost first = cluster.leader();
    SimulatedHost lost = cluster.follower();
    loseDisks(cluster, List.of(lost));
    cluster.advance(CATCH_UP);
    for (int i = 0; i < MAX_FREEZES && cluster.leader() != lost; i++) {
      cluster.freeze(cluster.leader(), SHORT_FREEZE);
      cluster.advance(CATCH_UP);
    }
    assertThat(cluster.leader()).as("the host whose disk was lost leads").isEqualTo(lost);
    cluster.powerOff(first);
    cluster.advance(Duration.ofMillis(500));
    cluster.submitAt(lost);
    cluster.advance(Duration.ofMillis(500));
    cluster.powerOff(lost);
    cluster.powerOn(first);
    cluster.advance(CATCH_UP);
    cluster.submitAt(first);
    cluster.advance(CATCH_UP);
    cluster.powerOn(lost);
  }

  /** Starts a machine a second after the loss of its predecessor. */
  private static void startLater(SimulatedCluster cluster, SimulatedHost host) {
    cluster.advance(Duration.ofSeconds(1));
    cluster.powerOn(host);
  }

  private static Arguments row(String name, int size, Consumer<SimulatedCluster> losses) {
    return Arguments.arguments(name, size, losses);
  }
}
