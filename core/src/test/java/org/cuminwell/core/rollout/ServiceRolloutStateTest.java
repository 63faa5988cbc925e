package org.cuminwell.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the effect of a second order, depending on the state of the first order's rollout. */
final class ServiceRolloutStateTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final Instant LATER = START.plusSeconds(5);

  @ParameterizedTest(name = "v2 is {0}, then an order for {1}: {2} of {3}, barred {4}")
  @CsvSource({
    "starting,   v2, starting,   v2, ''",
    "canary,     v2, canary,     v2, ''",
    "done,       v2, done,       v2, ''",
    "taken_back, v2, taken_back, v2, ''",
    "canary,     v3, starting,   v3, v2",
    "taken_back, v3, starting,   v3, v2",
    "done,       v3, starting,   v3, ''",
  })
  void secondOrderContinuesOrReplacesTheFirst(
      String state, String target, String expected, String moved, String barred) {
    ServiceRolloutState first =
        inState(ServiceRolloutState.afterOrder(Optional.empty(), order("v2"), START), state);

    ServiceRolloutState second =
        ServiceRolloutState.afterOrder(Optional.of(first), order(target), LATER);

    assertThat(second.last().state().label()).isEqualTo(expected);
    assertThat(second.last().rollout().to()).hasToString(moved);
    assertThat(String.join(" ", second.barred().stream().map(VersionId::value).toList()))
        .isEqualTo(barred);
  }

  @ParameterizedTest(name = "v2 is {0}, then v3 is ordered, then v2 again")
  @CsvSource({"canary", "taken_back"})
  void barredVersionIsNotRolledOutAgain(String state) {
    ServiceRolloutState first =
        inState(ServiceRolloutState.afterOrder(Optional.empty(), order("v2"), START), state);
    ServiceRolloutState second =
        ServiceRolloutState.afterOrder(Optional.of(first), order("v3"), LATER);

    ServiceRolloutState third =
        ServiceRolloutState.afterOrder(Optional.of(second), order("v2"), LATER);

    assertThat(third.last().state().label()).isEqualTo("taken_back");
  }

  @ParameterizedTest(name = "{0}, step {1}: {2}")
  @CsvSource({
    "starting,   2, canary",
    "starting,   1, starting",
    "starting,   3, starting",
    "done,       3, done",
    "taken_back, 3, taken_back",
  })
  void stepIsRecordedOnlyIfItFollowsTheLastOne(String state, long step, String expected) {
    ServiceRolloutState current =
        inState(ServiceRolloutState.afterOrder(Optional.empty(), order("v2"), START), state);
    RolloutAdvance advance =
        new RolloutAdvance(current.last().rollout(), step, new RolloutState.Canary(0.1));

    assertThat(current.afterAdvance(advance, LATER).last().state().label()).isEqualTo(expected);
  }

  private static ServiceRolloutState inState(ServiceRolloutState starting, String state) {
    return switch (state) {
      case "starting" -> starting;
      case "canary" -> advancedTo(starting, new RolloutState.Canary(0.1));
      case "done" -> advancedTo(starting, new RolloutState.Done());
      case "taken_back" -> advancedTo(starting, new RolloutState.TakenBack("it is slow"));
      default -> throw new IllegalArgumentException(state);
    };
  }

  private static ServiceRolloutState advancedTo(ServiceRolloutState current, RolloutState state) {
    return current.afterAdvance(new RolloutAdvance(current.last().rollout(), 2, state), START);
  }

  private static RolloutOrder order(String target) {
    return new RolloutOrder(
        "app", new VersionId(target), Duration.ofSeconds(15), new ExposureBounds(0.1, 50));
  }
}
