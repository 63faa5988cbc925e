package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.OperatorOrder;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.PairCounts;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutEvidence;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.core.rollout.VersionEvidence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds that what is said and recorded of version rollouts of services is carried whole. */
final class ServiceMoveCodecTest {

  private static final Instant AT = Instant.ofEpochSecond(1_700_000_000, 123_456_789);
  private static final RolloutOrder ORDER =
      new RolloutOrder(
          "app", new VersionId("v2"), Duration.ofMillis(12_500), new ExposureBounds(0.1, 50));
  private static final RolloutProgress FIRST =
      ServiceRolloutState.afterOrder(Optional.empty(), ORDER, AT).last();

  @ParameterizedTest
  @MethodSource("commands")
  void carriesEachCommandWhole(Command command) {
    assertThat(StateCodec.fromProto(StateCodec.toProto(command))).isEqualTo(command);
  }

  @ParameterizedTest
  @MethodSource("states")
  void carriesTheMovesOfAConfigurationWhole(RolloutState state) {
    ServiceRolloutState moves =
        new ServiceRolloutState(
            new RolloutProgress(FIRST.rollout(), 3, state, AT), Set.of(new VersionId("v0")));
    Forwarding forwarding = Forwarding.NONE.withServiceRollouts("app", moves);
    Forwarding.Change change = Forwarding.NONE.changeTo(forwarding);

    assertThat(ForwardingCodec.fromProto(ForwardingCodec.toProto(forwarding)))
        .isEqualTo(forwarding);
    assertThat(ForwardingCodec.fromProto(ForwardingCodec.toProto(change))).isEqualTo(change);
    assertThat(Forwarding.NONE.apply(change)).isEqualTo(forwarding);
  }

  @ParameterizedTest
  @MethodSource("evidence")
  void carriesAReportWhole(RolloutEvidence evidence) throws WireFormatException {
    RolloutMessage.MoveReport move =
        new RolloutMessage.MoveReport(
            FIRST.rollout().subject(), FIRST.rollout().to(), 1, evidence, 4, true);
    PeerFrame frame =
        new PeerFrame.Message(
            new PeerMessage.Rollouts(
                new RolloutMessage.Report(new HostId("g1"), 7, List.of(move))));

    assertThat(PeerFrameCodec.decode(PeerFrameCodec.encode(frame))).isEqualTo(frame);
  }

  private static Stream<Command> commands() {
    return Stream.of(
        new Command.CarryOut(new OperatorOrder.BeginRollout(ORDER), OptionalLong.of(3)),
        new Command.CarryOut(new OperatorOrder.BeginRollout(ORDER), OptionalLong.empty()),
        new Command.AdvanceRollout(
            new RolloutAdvance(FIRST.rollout(), 2, new RolloutState.Canary(0.1))));
  }

  private static Stream<RolloutState> states() {
    return Stream.of(
        new RolloutState.Starting(),
        new RolloutState.Ramping(0.6),
        new RolloutState.Done(),
        new RolloutState.TakenBack("it is slow"));
  }

  private static Stream<RolloutEvidence> evidence() {
    VersionEvidence seen =
        new VersionEvidence(
            new PairCounts(1, 2, 3), new PairCounts(4, 5, 6), PairCounts.NONE, 9, 8);
    return Stream.of(
        RolloutEvidence.NONE,
        new RolloutEvidence(
            Map.of(new RouteId("a"), seen, new RouteId("b"), VersionEvidence.NONE)));
  }
}
