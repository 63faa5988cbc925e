package org.cuminwell.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a gateway keeps to the recorded share, and stops on its own evidence of a fault. */
class LocalGuardTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final RouteRollout ROLLOUT =
      new RouteRollout(
          new RouteId("chat"),
          new VersionId("v1"),
          new VersionId("v2"),
          START.plusSeconds(600),
          new RolloutBounds(0.05, 0.02, 1.5));

  @ParameterizedTest(name = "share {0}, estimate {1}, used {2}")
  @CsvSource({
    "0.05, 100, 100",
    "0.05, 100, 10",
    "0.05, 10,  100",
    "0.50, 10,  100",
    "0.80, 10,  30",
    "0.80, 100, 10",
  })
  void givesTheNewVersionNoMoreThanItsShare(double share, long estimatedTokens, long usedTokens) {
    LocalGuard guard =
        new LocalGuard(
            new RolloutProgress(ROLLOUT, 2, new RolloutState.Ramping(share), START), START);
    long newTokens = 0;
    long totalTokens = 0;
    for (int i = 0; i < 5_000; i++) {
      VersionId version =
          guard.admitsNew(ROLLOUT.route(), estimatedTokens, START) ? ROLLOUT.to() : ROLLOUT.from();
      guard.recordSent(ROLLOUT.route(), version, estimatedTokens);
      guard.settle(version, estimatedTokens, usedTokens, START);
      totalTokens += usedTokens;
      newTokens += guard.isNew(version) ? usedTokens : 0;
      assertThat((double) newTokens).isLessThanOrEqualTo(share * totalTokens + usedTokens);
    }
    assertThat((double) newTokens / totalTokens).isGreaterThan(0.8 * share);
  }

  @ParameterizedTest(name = "{0}: share {1}")
  @CsvSource({
    "news just now,            0.4",
    "silence for 1.4 s,        0.4",
    "silence for 1.5 s,        0",
    "own evidence of a fault,  0",
    "an earlier step,          0.4",
    "a later step,             0.8",
    "taken back,               0",
    "done after own evidence,  1",
  })
  void allowsTheShareOnlyWhileItIsValid(String name, double expected) {
    LocalGuard guard = new LocalGuard(step(3, new RolloutState.Ramping(0.4)), START);
    Instant now = START;
    switch (name) {
      case "news just now" -> {}
      case "silence for 1.4 s" -> now = START.plusMillis(1_400);
      case "silence for 1.5 s" -> now = START.plusMillis(1_500);
      case "own evidence of a fault" -> recordFault(guard);
      case "an earlier step" -> guard.update(step(2, new RolloutState.Ramping(0.8)), now);
      case "a later step" -> guard.update(step(4, new RolloutState.Ramping(0.8)), now);
      case "taken back" -> guard.update(step(4, new RolloutState.TakenBack("it fails")), now);
      case "done after own evidence" -> {
        recordFault(guard);
        guard.update(step(4, new RolloutState.Done()), now);
      }
      default -> throw new IllegalArgumentException(name);
    }

    assertThat(guard.allowedShare(now)).isEqualTo(expected);
  }

  private static void recordFault(LocalGuard guard) {
    for (int i = 0; i < 50; i++) {
      guard.recordResult(ROLLOUT.route(), ROLLOUT.from(), result(false), START);
      guard.recordResult(ROLLOUT.route(), ROLLOUT.to(), result(true), START);
    }
  }

  private static RequestResult result(boolean failed) {
    return new RequestResult(
        failed, failed ? Optional.empty() : Optional.of(Duration.ofMillis(5)), Optional.empty());
  }

  private static RolloutProgress step(long step, RolloutState state) {
    return new RolloutProgress(ROLLOUT, step, state, START);
  }
}
