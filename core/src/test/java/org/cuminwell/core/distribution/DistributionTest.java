package org.cuminwell.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that gateways converge on the committed revision and never return to an earlier one. */
final class DistributionTest {

  private static final List<HostId> DAKAR = hosts("g0", "g1", "g2");
  private static final List<HostId> TAMBA = hosts("g3", "g4", "g5");
  private static final int SEEDS = 400;
  private static final int STEPS_PER_SECOND = 20;

  static Stream<Arguments> faults() {
    return Stream.of(
        row("nothing fails", c -> {}),
        row("messages are lost, duplicated and reordered", c -> c.setFaulty(true)),
        row("the feeder dies", c -> c.kill(DAKAR.get(0))),
        row(
            "the feeder and its successor die",
            c -> {
              c.kill(DAKAR.get(0));
              c.run(1);
              c.kill(DAKAR.get(1));
            }),
        row(
            "the feeder is disconnected from its neighbours",
            c -> DAKAR.subList(1, 3).forEach(n -> c.disconnect(DAKAR.get(0), n))),
        row(
            "a gateway is disconnected from the leader",
            c -> c.disconnect(DAKAR.get(2), DistributionCluster.LEADER)),
        row("a gateway restarts with a disk", c -> restart(c, DAKAR.get(2))),
        row("a gateway restarts without a disk", c -> restart(c, DAKAR.get(1))),
        row("a data centre restarts", c -> DAKAR.forEach(g -> restart(c, g))),
        row("more changes are missed than are kept", c -> commit(c, ChangeWindow.MAX_CHANGES + 2)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void everyReachableGatewayConverges(String name, Consumer<DistributionCluster> fault) {
    DistributionCluster cluster = settledCluster(1);
    fault.accept(cluster);
    commit(cluster, 10);
    cluster.run(10 * STEPS_PER_SECOND);
    cluster.setFaulty(false);
    cluster.run(10 * STEPS_PER_SECOND);
    assertThat(runningGateways(cluster))
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
  }

  static LongStream seeds() {
    return LongStream.range(0, SEEDS);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void revisionsNeverDecreaseAndConvergeOnceMessagesArrive(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DistributionCluster cluster = settledCluster(seed);
    cluster.setFaulty(true);
    for (int round = 0; round < 30; round++) {
      injectFault(cluster, random);
      cluster.run(random.nextInt(STEPS_PER_SECOND));
    }
    cluster.setFaulty(false);
    cluster.reconnectAll();
    cluster.gateways().forEach(gateway -> restart(cluster, gateway));
    cluster.run(20 * STEPS_PER_SECOND);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()))
        .allSatisfy(g -> assertThat(cluster.isServing(g)).isTrue());
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aCutOffDataCentreConvergesOnItsHighestRevision(long seed) {
    DistributionCluster cluster = settledCluster(seed);
    cluster.disconnect(TAMBA.get(2), DistributionCluster.LEADER);
    cluster.disconnect(TAMBA.get(2), TAMBA.get(0));
    commit(cluster, 3);
    cluster.run(1);
    cluster.disconnectFromControl(TAMBA);
    Revision highest = highestRevision(cluster, TAMBA);
    cluster.setFaulty(true);
    restart(cluster, TAMBA.get(1));
    restart(cluster, TAMBA.get(2));
    cluster.run(10 * STEPS_PER_SECOND);
    cluster.setFaulty(false);
    cluster.run(5 * STEPS_PER_SECOND);
    assertThat(TAMBA).allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(highest));
    assertThat(TAMBA).allSatisfy(g -> assertThat(cluster.isServing(g)).isTrue());
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aLaggingControlHostChangesNothing(long seed) {
    DistributionCluster cluster = settledCluster(seed);
    commit(cluster, 8);
    cluster.run(5 * STEPS_PER_SECOND);
    cluster.gateways().forEach(g -> cluster.disconnect(g, DistributionCluster.LEADER));
    Revision before = cluster.latest();
    commit(cluster, 5);
    cluster.run(10 * STEPS_PER_SECOND);
    assertThat(cluster.publisher(DistributionCluster.LAGGING).revision()).isLessThan(before);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(before));
  }

  static Stream<Arguments> starts() {
    return Stream.of(
        arguments("alone with a disk", 2, true, false, true),
        arguments("alone without a disk", 1, true, false, false),
        arguments("without a disk beside its neighbours", 1, false, false, true),
        arguments("without a disk, only control hosts reachable", 1, true, true, true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void aGatewayServesOnlyOnceItHasAConfiguration(
      String name, int gateway, boolean alone, boolean controlReachable, boolean serves) {
    DistributionCluster cluster = settledCluster(7);
    HostId host = DAKAR.get(gateway);
    cluster.kill(host);
    if (!controlReachable) {
      cluster.disconnectFromControl(DAKAR);
    }
    if (alone) {
      DAKAR.stream().filter(g -> !g.equals(host)).forEach(g -> cluster.disconnect(host, g));
    }
    cluster.restart(host);
    cluster.run(1);
    assertThat(cluster.isServing(host)).as("at once").isFalse();
    cluster.run(15 * STEPS_PER_SECOND);
    assertThat(cluster.isServing(host)).as("in the end").isEqualTo(serves);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void onlyDifferencesAreSentOnceGatewaysHaveAConfiguration(
      String name, int gateway, boolean alone, boolean controlReachable, boolean serves) {
    DistributionCluster cluster = settledCluster(gateway);
    long before = cluster.fullConfigurationsSent();
    for (int i = 0; i < 200; i++) {
      cluster.commit();
      cluster.run(2);
    }
    cluster.run(STEPS_PER_SECOND);
    assertThat(cluster.fullConfigurationsSent()).isEqualTo(before);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void aChangeReachesEveryGatewayWithOneMessageToEachDataCentre(
      String name, int gateway, boolean alone, boolean controlReachable, boolean serves) {
    DistributionCluster cluster = settledCluster(gateway);
    long before = cluster.differencesSentByLeader();
    commit(cluster, 1 + gateway);
    cluster.run(4);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
    assertThat(cluster.differencesSentByLeader() - before).isEqualTo(2);
  }

  private static void injectFault(DistributionCluster cluster, SplittableRandom random) {
    HostId gateway = cluster.gateways().get(random.nextInt(cluster.gateways().size()));
    switch (random.nextInt(6)) {
      case 0 -> restart(cluster, gateway);
      case 1 -> cluster.disconnect(gateway, DistributionCluster.LEADER);
      case 2 -> cluster.disconnectFromControl(random.nextBoolean() ? DAKAR : TAMBA);
      case 3 -> cluster.reconnectAll();
      default -> commit(cluster, random.nextInt(6));
    }
  }

  private static void restart(DistributionCluster cluster, HostId gateway) {
    cluster.kill(gateway);
    cluster.restart(gateway);
  }

  private static void commit(DistributionCluster cluster, int changes) {
    for (int i = 0; i < changes; i++) {
      cluster.commit();
    }
  }

  /** Returns a cluster that has converged on its first changes. */
  private static DistributionCluster settledCluster(long seed) {
    DistributionCluster cluster = new DistributionCluster(seed);
    commit(cluster, 3);
    cluster.run(5 * STEPS_PER_SECOND);
    return cluster;
  }

  private static List<HostId> runningGateways(DistributionCluster cluster) {
    return cluster.gateways().stream().filter(cluster::isUp).toList();
  }

  private static Revision highestRevision(DistributionCluster cluster, List<HostId> centre) {
    return centre.stream().map(cluster::revision).max(Revision::compareTo).orElseThrow();
  }

  private static Arguments row(String name, Consumer<DistributionCluster> fault) {
    return arguments(name, fault);
  }

  private static List<HostId> hosts(String... names) {
    return Stream.of(names).map(HostId::new).toList();
  }
}
