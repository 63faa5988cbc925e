package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cuminwell.core.model.RetrySemantics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that requests of one kind don't crash one endpoint after the other. */
final class RequestsKeepCrashingEndpointsTest {

  /** How soon after the last crash that it takes to tell, every gateway must refuse. */
  private static final Duration TIME_TO_REFUSE = Duration.ofSeconds(5);

  private static final int CRASHES_TO_TELL_PART = 5;
  private static final int CRASHES_TO_TELL_REQUEST = 3;
  private static final int MOST_LETHAL_SENT = 3;
  private static final Duration SOUND_ONLY = Duration.ofSeconds(4);
  private static final Duration WITH_LETHAL = Duration.ofSeconds(36);
  private static final Duration SETTLED = Duration.ofSeconds(20);

  @ParameterizedTest(name = "{0} gateways, {1} endpoints, {2}, share {3}, {4}, seed {5}")
  @CsvSource({
    "6,  6,  SHARED_PART,  0.05, stream_once,      1",
    "6,  6,  SHARED_PART,  0.05, stream_once,      2",
    "7,  13, SHARED_PART,  0.05, resumable_stream, 3",
    "7,  13, SHARED_PART,  0.3,  resumable_stream, 4",
    "6,  6,  SHARED_PART,  0.02, stream_once,      5",
    "14, 24, SHARED_PART,  0.05, resumable_stream, 6",
    "6,  6,  SAME_REQUEST, 0.03, stream_once,      7",
    "7,  13, SAME_REQUEST, 0.05, resumable_stream, 8",
  })
  void lethalRequestsStopReachingEndpoints(
      int gateways,
      int endpoints,
      CrashFleet.Lethal lethal,
      double share,
      String repeat,
      int seed) {
    CrashFleet fleet = fleet(gateways, endpoints, lethal, share, 0, repeat, seed);
    fleet.runWithRequests(SOUND_ONLY, false);
    fleet.runWithRequests(WITH_LETHAL, true);

    int crashes =
        lethal == CrashFleet.Lethal.SHARED_PART ? CRASHES_TO_TELL_PART : CRASHES_TO_TELL_REQUEST;
    assertThat(fleet.lethalSentAfter(crashes, TIME_TO_REFUSE))
        .as("lethal requests sent; %d crashes", fleet.lethalCrashes())
        .isLessThanOrEqualTo(MOST_LETHAL_SENT);
    assertThat(fleet.soundSuspended()).isZero();
    assertThat(fleet.soundBegun(SETTLED, SOUND_ONLY.plus(WITH_LETHAL)))
        .isGreaterThan(0.5 * fleet.soundBegun(Duration.ZERO, SOUND_ONLY));
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({"CONTROL_HOST_LOST", "GATEWAY_RESTARTED", "OTHER_CRASHES"})
  void lethalRequestsStopReachingEndpointsDuring(Fault fault) {
    double otherCrashes = fault == Fault.OTHER_CRASHES ? 0.25 : 0;
    CrashFleet fleet =
        fleet(6, 8, CrashFleet.Lethal.SHARED_PART, 0.05, otherCrashes, "resumable_stream", 11);
    fleet.runWithRequests(SOUND_ONLY, false);
    fleet.runWithRequests(Duration.ofSeconds(1), true);
    if (fault == Fault.CONTROL_HOST_LOST) {
      fleet.removeControl("c0");
    }
    fleet.runWithRequests(WITH_LETHAL.dividedBy(3), true);
    if (fault == Fault.GATEWAY_RESTARTED) {
      fleet.restartGateway(1);
    }
    fleet.runWithRequests(WITH_LETHAL.dividedBy(3), true);

    assertThat(fleet.lethalSentAfter(CRASHES_TO_TELL_PART, TIME_TO_REFUSE))
        .isLessThanOrEqualTo(MOST_LETHAL_SENT);
    assertThat(fleet.soundSuspended()).isZero();
  }

  @ParameterizedTest(name = "{0} gateways, {1} endpoints, {2} crashes a second, seed {3}")
  @CsvSource({"6, 6, 0.5, 21", "6, 6, 1, 22", "7, 13, 2, 23", "7, 13, 1, 24", "6, 3, 0.5, 25"})
  void soundRequestsAreNotSuspendedWhenEndpointsCrashForOtherReasons(
      int gateways, int endpoints, double crashesPerSecond, int seed) {
    CrashFleet fleet =
        fleet(
            gateways,
            endpoints,
            CrashFleet.Lethal.NONE,
            0,
            crashesPerSecond,
            "resumable_stream",
            seed);
    fleet.runWithRequests(WITH_LETHAL, false);

    assertThat(fleet.soundSuspended()).isZero();
    assertThat(fleet.soundBegun(Duration.ZERO, WITH_LETHAL)).isGreaterThan(0.5);
  }

  enum Fault {
    CONTROL_HOST_LOST,
    GATEWAY_RESTARTED,
    OTHER_CRASHES
  }

  private static CrashFleet fleet(
      int gateways,
      int endpoints,
      CrashFleet.Lethal lethal,
      double share,
      double otherCrashesPerSecond,
      String repeat,
      int seed) {
    CrashFleet.Load load =
        new CrashFleet.Load(
            12, lethal, share, otherCrashesPerSecond, RetrySemantics.fromLabel(repeat));
    return new CrashFleet(gateways, endpoints, 3, load, seed);
  }
}
