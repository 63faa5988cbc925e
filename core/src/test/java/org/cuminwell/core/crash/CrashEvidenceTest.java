package org.cuminwell.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how evidence on crashes is pooled, contradicted, bounded and released. */
final class CrashEvidenceTest {

  private static final Trait LETHAL = new Trait.SharedPart(1);
  private static final Trait SOUND = new Trait.SharedPart(2);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration HOLD = new Suspension(LETHAL, 1, false).hold();

  private final CrashEvidence evidence = gateway("g0");
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private int crashes;

  @ParameterizedTest(name = "after {0} crashes: suspended {1}")
  @CsvSource({"0, false", "2, false", "3, true", "5, true"})
  void traitsAreSuspendedAfterSeveralCrashes(int count, boolean suspended) {
    crash(count, LETHAL);
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "a response started {0} ms after the last of 3 crashes")
  @CsvSource({"-2500, true", "-500, false", "50, false"})
  void laterResponsesClearATrait(long startedAfterMillis, boolean suspended) {
    crash(2, LETHAL);
    Instant crashedAt = now;
    lose(10, LETHAL);
    evidence.recordWorked(List.of(LETHAL), crashedAt.plusMillis(startedAfterMillis), now);
    advance(Duration.ofSeconds(1));
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "responded to an attempt sent {0} ms after the loss, {1} ms later")
  @CsvSource({
    "-10, 200,  true",
    "10,  200,  false",
    // After this long it may have started again under the same name.
    "10,  3000, true",
  })
  void endpointsThatRespondLaterHaveNotCrashed(
      long sentAfterMillis, long respondedAfterMillis, boolean suspended) {
    crash(2, LETHAL);
    Instant lostAt = now;
    EndpointIncarnation last = lose(10, LETHAL);
    evidence.recordAlive(
        last, lostAt.plusMillis(sentAfterMillis), lostAt.plusMillis(respondedAfterMillis));
    advance(Duration.ofSeconds(1));
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "{0} attempts lost, restarted {1}")
  @CsvSource({"1, false, false", "1, true, true", "3, false, true"})
  void fewLostAttemptsAreACrashOnlyIfTheEndpointStartsAgain(
      int lostAttempts, boolean restarted, boolean suspended) {
    for (int i = 0; i < 3; i++) {
      lose(lostAttempts, LETHAL);
      advance(Duration.ofSeconds(1));
    }
    evidence.tick(_ -> restarted, now);
    now = now.plus(CrashEvidence.COLLECTION);
    evidence.tick(_ -> restarted, now);
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "a response started {0} ms after the last crash, told by another {1}")
  @CsvSource({"-500, false, true", "100, false, false", "100, true, false"})
  void responsesAfterTheLastCrashLiftTheSuspensionAtOnce(
      long startedAfterMillis, boolean toldByAnother, boolean suspended) {
    crash(2, LETHAL);
    Instant lastCrash = now;
    crash(1, LETHAL);
    assertThat(isSuspended(LETHAL)).isTrue();
    Instant startedAt = lastCrash.plusMillis(startedAfterMillis);
    if (toldByAnother) {
      CrashEvidence other = gateway("g1");
      other.merge(evidence.all(lastCrash), lastCrash);
      other.recordWorked(List.of(LETHAL), startedAt, now);
      evidence.merge(other.takeChanges(now), now);
    } else {
      evidence.recordWorked(List.of(LETHAL), startedAt, now);
    }
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "{0} gateways see one crash each")
  @ValueSource(ints = {3, 5})
  void crashesAtDifferentGatewaysAddUp(int gateways) {
    List<CrashEvidence> all = IntStream.range(0, gateways).mapToObj(i -> gateway("g" + i)).toList();
    CrashEvidence control = CrashEvidence.ofControlHost(new HostId("c0"));
    for (CrashEvidence gateway : all) {
      gateway.recordCrash(report(10, LETHAL), now);
      control.merge(gateway.takeChanges(now), now);
      CrashUpdate relayed = control.takeChanges(now);
      all.forEach(other -> other.merge(relayed, now));
      now = now.plusSeconds(1);
    }
    assertThat(control.takeChanges(now).isEmpty()).isTrue();
    all.forEach(gateway -> gateway.tick(_ -> false, now));
    assertThat(all).allSatisfy(g -> assertThat(g.remainingHold(List.of(LETHAL), now)).isPositive());
  }

  @ParameterizedTest(name = "the trial ends well {0}")
  @ValueSource(booleans = {true, false})
  void suspensionsEndAfterATrial(boolean endsWell) {
    crash(3, LETHAL);
    advance(HOLD.minusSeconds(5));
    assertThat(evidence.admits(List.of(LETHAL), now)).isFalse();
    advance(Duration.ofSeconds(10));
    assertThat(evidence.admits(List.of(LETHAL), now)).isTrue();
    assertThat(evidence.admits(List.of(LETHAL), now)).as("one at a time").isFalse();
    if (endsWell) {
      evidence.recordWorked(List.of(LETHAL), now, now);
      assertThat(evidence.admits(List.of(LETHAL), now)).isTrue();
    } else {
      crash(1, LETHAL);
      assertThat(evidence.remainingHold(List.of(LETHAL), now)).isGreaterThan(HOLD);
    }
  }

  @ParameterizedTest(name = "{0} later")
  @ValueSource(strings = {"PT20M", "PT2H"})
  void suspensionsThatNobodyAsksForAreForgotten(Duration time) {
    crash(3, LETHAL);
    now = now.plus(time);
    evidence.tick(_ -> false, now);
    assertThat(evidence.all(now).isEmpty()).isTrue();
  }

  @ParameterizedTest(name = "{0} crashes with {1} traits each")
  @CsvSource({"1000, 10", "10, 5000"})
  void evidenceIsBounded(int count, int traitsEach) {
    long digest = 100;
    for (int i = 0; i < count; i++) {
      Set<Trait> traits = new HashSet<>();
      for (int j = 0; j < traitsEach; j++) {
        traits.add(new Trait.SharedPart(digest++));
      }
      evidence.recordCrash(new CrashDetector.Report(endpoint(), "service", 10, traits), now);
    }
    assertThat(evidence.all(now).crashes())
        .hasSizeLessThanOrEqualTo(CrashPool.MAX_CRASHES)
        .allSatisfy(
            crash ->
                assertThat(crash.suspects()).hasSizeLessThanOrEqualTo(CrashRecord.MAX_SUSPECTS));
  }

  @ParameterizedTest(name = "{0} crashes with both traits, then {1} with the second alone")
  @CsvSource({"3, 0, false", "3, 2, false", "3, 3, true", "2, 3, true"})
  void crashesThatASuspendedTraitExplainsBlameNoOther(int both, int alone, boolean suspended) {
    Trait content = new Trait.Content(3);
    for (int i = 0; i < both; i++) {
      evidence.recordCrash(
          new CrashDetector.Report(endpoint(), "service", 10, Set.of(content, LETHAL)), now);
      advance(Duration.ofSeconds(1));
    }
    crash(alone, LETHAL);
    assertThat(isSuspended(LETHAL)).isEqualTo(suspended);
  }

  @ParameterizedTest(name = "after {0} crashes: retried {1}")
  @CsvSource({"0, true", "1, true", "2, false"})
  void suspectsAreNotSentToAFurtherEndpoint(int count, boolean retried) {
    crash(count, LETHAL);
    assertThat(evidence.forbidsRetry(List.of(SOUND, LETHAL))).isNotEqualTo(retried);
    assertThat(evidence.forbidsRetry(List.of(SOUND))).isFalse();
  }

  private boolean isSuspended(Trait trait) {
    return evidence.remainingHold(List.of(trait), now).isPositive();
  }

  private void crash(int count, Trait trait) {
    for (int i = 0; i < count; i++) {
      lose(10, trait);
      advance(Duration.ofSeconds(1));
    }
  }

  private EndpointIncarnation lose(int attempts, Trait trait) {
    CrashDetector.Report report = report(attempts, trait);
    evidence.recordCrash(report, now);
    return report.endpoint();
  }

  private CrashDetector.Report report(int attempts, Trait trait) {
    return new CrashDetector.Report(endpoint(), "service", attempts, Set.of(trait));
  }

  private EndpointIncarnation endpoint() {
    return new EndpointIncarnation(new EndpointId("e" + crashes++), 1);
  }

  private void advance(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      evidence.tick(_ -> false, now);
    }
  }

  private static CrashEvidence gateway(String name) {
    return CrashEvidence.ofGateway(new HostId(name), () -> 1, new SplittableRandom(1));
  }
}
