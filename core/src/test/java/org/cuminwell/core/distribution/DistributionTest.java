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

/** Holds that gateways converge on the committed revision and never go back. */
final class DistributionTest {

  private static final List<HostId> DAKAR = hosts("g0", "g1", "g2");
  private static final List<HostId> TAMBA = hosts("g3", "g4", "g5");
  private static final int INTERLEAVINGS = 400;
  private static final int SECOND = 20;

  static Stream<Arguments> faults() {
    return Stream.of(
        row("nothing fails", c -> {}),
        row("messages are lost, doubled and reordered", c -> c.faulty(true)),
        row("the feeder dies", c -> c.kill(DAKAR.get(0))),
        row(
            "the feeder and its successor die",
            c -> {
              c.kill(DAKAR.get(0));
              c.run(1);
              c.kill(DAKAR.get(1));
            }),
        row(
            "the feeder loses its neighbours",
            c -> DAKAR.subList(1, 3).forEach(n -> c.cut(DAKAR.get(0), n))),
        row("a gateway loses control", c -> c.cut(DAKAR.get(2), DistributionCluster.LEADER)),
        row("a gateway restarts with a disk", c -> restart(c, DAKAR.get(2))),
        row("a gateway restarts without a disk", c -> restart(c, DAKAR.get(1))),
        row("a data centre restarts", c -> DAKAR.forEach(g -> restart(c, g))),
        row("more is missed than is kept", c -> burst(c, ChangeWindow.MAX_CHANGES + 2)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void everyGatewayThatCanBeReachedConverges(String name, Consumer<DistributionCluster> fault) {
    DistributionCluster cluster = settled(1);
    fault.accept(cluster);
    burst(cluster, 10);
    cluster.run(10 * SECOND);
    cluster.faulty(false);
    cluster.run(10 * SECOND);
    assertThat(alive(cluster))
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
  }

  static LongStream seeds() {
    return LongStream.range(0, INTERLEAVINGS);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void revisionsNeverGoDownAndConvergeOnceMessagesFlow(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DistributionCluster cluster = settled(seed);
    cluster.faulty(true);
    for (int round = 0; round < 30; round++) {
      disturb(cluster, random);
      cluster.run(random.nextInt(SECOND));
    }
    cluster.faulty(false);
    cluster.healAll();
    cluster.gateways().forEach(gateway -> restart(cluster, gateway));
    cluster.run(20 * SECOND);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()))
        .allSatisfy(g -> assertThat(cluster.isServing(g)).isTrue());
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aCutOffDataCentreConvergesOnTheBestOfItsGateways(long seed) {
    DistributionCluster cluster = settled(seed);
    cluster.cut(TAMBA.get(2), DistributionCluster.LEADER);
    cluster.cut(TAMBA.get(2), TAMBA.get(0));
    burst(cluster, 3);
    cluster.run(1);
    cluster.cutOff(TAMBA);
    Revision best = best(cluster, TAMBA);
    cluster.faulty(true);
    restart(cluster, TAMBA.get(1));
    restart(cluster, TAMBA.get(2));
    cluster.run(10 * SECOND);
    cluster.faulty(false);
    cluster.run(5 * SECOND);
    assertThat(TAMBA).allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(best));
    assertThat(TAMBA).allSatisfy(g -> assertThat(cluster.isServing(g)).isTrue());
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aControlHostThatIsBehindChangesNothing(long seed) {
    DistributionCluster cluster = settled(seed);
    burst(cluster, 8);
    cluster.run(5 * SECOND);
    cluster.gateways().forEach(g -> cluster.cut(g, DistributionCluster.LEADER));
    Revision before = cluster.latest();
    burst(cluster, 5);
    cluster.run(10 * SECOND);
    assertThat(cluster.publisher(DistributionCluster.BEHIND).revision()).isLessThan(before);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(before));
  }

  static Stream<Arguments> starts() {
    return Stream.of(
        arguments("alone with a disk", 2, true, false, true),
        arguments("alone without a disk", 1, true, false, false),
        arguments("without a disk beside its neighbours", 1, false, false, true),
        arguments("without a disk, only control in reach", 1, true, true, true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void aGatewayServesOnlyOnceItHasAState(
      String name, int gateway, boolean alone, boolean control, boolean serves) {
    DistributionCluster cluster = settled(7);
    HostId host = DAKAR.get(gateway);
    cluster.kill(host);
    if (!control) {
      cluster.cutOff(DAKAR);
    }
    if (alone) {
      DAKAR.stream().filter(g -> !g.equals(host)).forEach(g -> cluster.cut(host, g));
    }
    cluster.restart(host);
    cluster.run(1);
    assertThat(cluster.isServing(host)).as("at once").isFalse();
    cluster.run(15 * SECOND);
    assertThat(cluster.isServing(host)).as("in the end").isEqualTo(serves);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void differencesAloneTravelOnceStatesAreHeld(
      String name, int gateway, boolean alone, boolean control, boolean serves) {
    DistributionCluster cluster = settled(gateway);
    long before = cluster.fullsSent();
    for (int i = 0; i < 200; i++) {
      cluster.commit();
      cluster.run(2);
    }
    cluster.run(SECOND);
    assertThat(cluster.fullsSent()).isEqualTo(before);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("starts")
  void aChangeReachesEveryGatewayByOneMessageToEachDataCentre(
      String name, int gateway, boolean alone, boolean control, boolean serves) {
    DistributionCluster cluster = settled(gateway);
    long before = cluster.sentByControl();
    burst(cluster, 1 + gateway);
    cluster.run(4);
    assertThat(cluster.gateways())
        .allSatisfy(g -> assertThat(cluster.revision(g)).isEqualTo(cluster.latest()));
    assertThat(cluster.sentByControl() - before).isEqualTo(2);
  }

  private static void disturb(DistributionCluster cluster, SplittableRandom random) {
    HostId gateway = cluster.gateways().get(random.nextInt(cluster.gateways().size()));
    switch (random.nextInt(6)) {
      case 0 -> restart(cluster, gateway);
      case 1 -> cluster.cut(gateway, DistributionCluster.LEADER);
      case 2 -> cluster.cutOff(random.nextBoolean() ? DAKAR : TAMBA);
      case 3 -> cluster.healAll();
      default -> burst(cluster, random.nextInt(6));
    }
  }

  private static void restart(DistributionCluster cluster, HostId gateway) {
    cluster.kill(gateway);
    cluster.restart(gateway);
  }

  private static void burst(DistributionCluster cluster, int changes) {
    for (int i = 0; i < changes; i++) {
      cluster.commit();
    }
  }

  private static DistributionCluster settled(long seed) {
    DistributionCluster cluster = new DistributionCluster(seed);
    burst(cluster, 3);
    cluster.run(5 * SECOND);
    return cluster;
  }

  private static List<HostId> alive(DistributionCluster cluster) {
    return cluster.gateways().stream().filter(cluster::isUp).toList();
  }

  private static Revision best(DistributionCluster cluster, List<HostId> centre) {
    return centre.stream().map(cluster::revision).max(Revision::compareTo).orElseThrow();
  }

  private static Arguments row(String name, Consumer<DistributionCluster> fault) {
    return arguments(name, fault);
  }

  private static List<HostId> hosts(String... names) {
    return Stream.of(names).map(HostId::new).toList();
  }
}
