package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.ClaimAnswer;
import org.cuminwell.core.idempotency.ClaimChange;
import org.cuminwell.core.idempotency.ClaimId;
import org.cuminwell.core.idempotency.ClaimKey;
import org.cuminwell.core.idempotency.ClaimRegistry;
import org.cuminwell.core.idempotency.Fingerprint;
import org.cuminwell.core.idempotency.IdempotencyKey;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.PairCounts;
import org.cuminwell.core.rollout.RolloutEvidence;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.VersionEvidence;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ClaimAndMoveCodecTest {

  private static final ClaimKey KEY =
      new ClaimKey(new CustomerId("touba"), new RouteId("sacks"), new IdempotencyKey("order/7"));
  private static final ClaimId ID = new ClaimId(new HostId("g1"), new RequestId("r1"));
  private static final Fingerprint CONTENT = Fingerprint.of("POST", "/reserve", new byte[] {1});
  private static final Instant AT = Instant.ofEpochSecond(1_700_000_000, 123_456_789);

  static Stream<PeerMessage> messages() {
    return Stream.concat(
        changes()
            .<IdempotencyMessage>map(IdempotencyMessage.ChangeRequest::new)
            .map(PeerMessage.Idempotency::new),
        Stream.concat(others().map(PeerMessage.Idempotency::new), moves()));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void carriesEachMessageWhole(PeerMessage message) throws WireFormatException {
    PeerFrame frame = new PeerFrame.Message(message);

    assertThat(PeerFrameCodec.decode(PeerFrameCodec.encode(frame))).isEqualTo(frame);
  }

  @Test
  void carriesTheClaimBookWhole() {
    ClaimRegistry book = new ClaimRegistry();
    changes().forEach(change -> book.apply(change, AT));
    ClaimId late = new ClaimId(new HostId("g2"), new RequestId("r2"));
    ClaimKey open = new ClaimKey(KEY.customer(), KEY.route(), new IdempotencyKey("open"));
    book.apply(new ClaimChange.Claim(open, late, CONTENT, Duration.ofSeconds(5)), AT);
    ClaimRegistry.Snapshot snapshot = book.snapshot();

    assertThat(snapshot.entries()).hasSize(1);
    assertThat(IdempotencyCodec.fromProto(IdempotencyCodec.toProto(snapshot))).isEqualTo(snapshot);
  }

  private static Stream<ClaimChange> changes() {
    return Stream.of(
        new ClaimChange.Claim(KEY, ID, CONTENT, Duration.ofMillis(2_500)),
        new ClaimChange.Release(KEY, ID),
        new ClaimChange.Settle(
            KEY, ID, CallOutcome.answered(201, "text/plain", new byte[] {0, -1})),
        new ClaimChange.Settle(KEY, ID, CallOutcome.answered(200, "text/plain", new byte[10_000])),
        new ClaimChange.Settle(KEY, ID, new CallOutcome.AnswerLost()),
        new ClaimChange.Settle(KEY, ID, new CallOutcome.Unknown()));
  }

  private static Stream<IdempotencyMessage> others() {
    Stream<ClaimAnswer> answers =
        Stream.of(
            new ClaimAnswer.Granted(),
            new ClaimAnswer.InProgress(),
            new ClaimAnswer.Ended(new CallOutcome.Unknown()),
            new ClaimAnswer.KeyReused(),
            new ClaimAnswer.LimitReached(),
            new ClaimAnswer.Withdrawn(),
            new ClaimAnswer.Acknowledged());
    return Stream.concat(
        answers.map(answer -> new IdempotencyMessage.ChangeReply(ID, answer)),
        Stream.of(
            new IdempotencyMessage.LeaderUpdate(Optional.empty()),
            new IdempotencyMessage.LeaderUpdate(Optional.of(new HostId("c1")))));
  }

  private static Stream<PeerMessage> moves() {
    RouteRollout routeRollout =
        new RouteRollout(
            new RouteId("chat"),
            new VersionId("v1"),
            new VersionId("v2"),
            Instant.ofEpochSecond(1_700_000_600),
            new RolloutBounds(0.05, 0.02, 1.5));
    Stream<RolloutState> states =
        Stream.of(
            new RolloutState.Starting(),
            new RolloutState.Canary(0.05),
            new RolloutState.Ramping(0.4),
            new RolloutState.Stuck(0.4, "too little traffic"),
            new RolloutState.Done(),
            new RolloutState.TakenBack("it fails"));
    PairCounts pairs = new PairCounts(1, 2, 3);
    RolloutMessage report =
        new RolloutMessage.Report(
            new HostId("g1"),
            7,
            List.of(
                new RolloutMessage.MoveReport(
                    routeRollout.subject(),
                    routeRollout.to(),
                    2,
                    new RolloutEvidence(
                        Map.of(
                            routeRollout.route(),
                            new VersionEvidence(pairs, pairs, PairCounts.NONE, 9, 8))),
                    4,
                    true)));
    return Stream.concat(
            states.map(
                state ->
                    new RolloutMessage.Steps(
                        List.of(new RolloutProgress(routeRollout, 3, state, AT)))),
            Stream.of(report))
        .map(PeerMessage.Rollouts::new);
  }
}
