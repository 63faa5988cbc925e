package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.OperatorOrder;
import org.cuminwell.core.control.ReplicatedState;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.ticket.Ticket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that what a leader applies is what every other replica reads of it. */
final class CommandCodecTest {

  private static final int COMMANDS_PER_SEED = 200;
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

  /** Guards against a field that one more passage through the log changes again. */
  @ParameterizedTest
  @MethodSource("seeds")
  void commandThatWasReadBackIsReadBackUnchanged(long seed) {
    RandomCommands commands = new RandomCommands(seed);
    for (int i = 0; i < COMMANDS_PER_SEED; i++) {
      Command command = logged(commands).orElseThrow();
      assertThat(CommandCodec.roundTrip(command)).isEqualTo(command);
    }
  }

  /** Guards against a snapshot that differs from the state of which it was made. */
  @ParameterizedTest
  @MethodSource("seeds")
  void snapshotOfAnyStateIsReadBackUnchanged(long seed) throws Exception {
    RandomCommands commands = new RandomCommands(seed);
    ReplicatedState state = new ReplicatedState();
    for (int i = 0; i < COMMANDS_PER_SEED; i++) {
      state.apply(logged(commands).orElseThrow(), START.plusMillis(i));
      byte[] encoded = StateCodec.toProto(state.snapshot()).toByteArray();
      assertThat(
              StateCodec.fromProto(org.cuminwell.wire.generated.StateSnapshot.parseFrom(encoded)))
          .isEqualTo(state.snapshot());
    }
  }

  /** Guards against a rollout whose duration differs between the leader and the others. */
  @ParameterizedTest
  @MethodSource("seeds")
  void anyOrderOfARolloutIsKeptWhole(long seed) {
    RolloutOrder order = new RandomCommands(seed).rolloutOrder();
    Command command =
        new Command.CarryOut(new OperatorOrder.BeginRollout(order), OptionalLong.of(seed));
    assertThat(CommandCodec.roundTrip(command)).isEqualTo(command);
  }

  /** Guards against a journal of an earlier build that ends each replica that reads it. */
  @ParameterizedTest
  @ValueSource(longs = {7_500_000_000_000L, 10_000_000_000_000L, Long.MAX_VALUE})
  void orderOfAnEarlierBuildThatLastsTooLongIsAppliedAtItsBound(long durationMillis) {
    var written =
        RolloutCodec.toProto(new RandomCommands(1).rolloutOrder()).toBuilder()
            .setDurationMillis(durationMillis)
            .build();
    RolloutOrder order = RolloutCodec.fromProto(written);
    ReplicatedState state = new ReplicatedState();
    state.apply(
        new Command.CarryOut(new OperatorOrder.BeginRollout(order), OptionalLong.empty()), START);

    assertThat(order.duration()).isEqualTo(RolloutOrder.MAX_DURATION);
    assertThat(StateCodec.fromProto(StateCodec.toProto(state.snapshot())))
        .isEqualTo(state.snapshot());
  }

  /** Guards against a command that ends the leader when it is written to its journal. */
  @Test
  void commandThatCannotBeWrittenIsRefused() {
    RouteRollout rollout =
        new RouteRollout(
            new RouteId("r1"),
            new VersionId("v1"),
            new VersionId("v2"),
            Instant.MAX,
            new RolloutBounds(0.1, 0.1, 1.5));
    ConfigurationChange change =
        new ConfigurationChange(
            Map.of(), Map.of(), Map.of(), Map.of(rollout.route(), Optional.of(rollout)));
    Command command = new Command.AcceptTicket(new Ticket(new TicketNumber(1), change));

    assertThatThrownBy(() -> CommandCodec.roundTrip(command))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {"PT0.999S", "PT1.0000001S", "PT1752000H0.001S", "PT2000000H"})
  void orderWithADurationOutOfItsRangeIsRefused(Duration duration) {
    RolloutOrder order = new RandomCommands(1).rolloutOrder();
    assertThatThrownBy(
            () -> new RolloutOrder(order.service(), order.to(), duration, order.exposure()))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static LongStream seeds() {
    return LongStream.range(0, 40);
  }

  /** Returns the next command that the log can hold, as it is read back. */
  private static Optional<Command> logged(RandomCommands commands) {
    for (int i = 0; i < COMMANDS_PER_SEED; i++) {
      try {
        return Optional.of(CommandCodec.roundTrip(commands.next()));
      } catch (IllegalArgumentException e) {
        // Refused at its submission; the next one may do.
      }
    }
    return Optional.empty();
  }
}
