package org.cuminwell.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.routing.Prompt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that the retries of all gateways together keep to the budget of a service, however often
 * gateways are started again, join, or know of few others.
 *
 * <p>Guards against a full budget that each start of a gateway handed out again.
 */
final class RetriesStayInBudgetTest {

  private static final double RATIO = 0.2;
  private static final int EXTRA = 52;
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int STEPS = 4_000;
  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final Failure FAILED = Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "failed");
  private static final Failure REFUSED = Failure.notRun(ErrorCode.BUSY, "refused");
  private static final Failure UNCONNECTED =
      Failure.notRun(ErrorCode.ENDPOINT_FAILED, "no connection");

  private final List<Instant> requests = new ArrayList<>();
  private final List<Instant> repeats = new ArrayList<>();

  /** One process of a gateway, and what it knows of the others. */
  private static final class GatewayProcess {
    final HostDirectory directory = new HostDirectory();
    final ForwardRetries retries =
        new ForwardRetries(new ForwardBounds(Duration.ofSeconds(5), RATIO, EXTRA), directory);

    GatewayProcess(int known) {
      meet(known);
    }

    void meet(int known) {
      for (int i = 0; i < known; i++) {
        directory.recordConnected(host(i));
      }
    }
  }

  @ParameterizedTest(name = "seed {0}, {1} gateways, restart every {2} steps")
  @MethodSource("runs")
  void repeatsStayWithinTheBudgetOfTheService(long seed, int gateways, int restartSteps) {
    SplittableRandom random = new SplittableRandom(seed);
    List<GatewayProcess> processes = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      processes.add(new GatewayProcess(gateways));
    }
    for (int step = 0; step < STEPS; step++) {
      Instant now = START.plus(STEP.multipliedBy(step));
      if (step % restartSteps == 0) {
        // It knows only itself, or a few others, until it has heard of all.
        processes.set(
            step / restartSteps % gateways, new GatewayProcess(1 + random.nextInt(gateways)));
      }
      GatewayProcess process = processes.get(random.nextInt(gateways));
      if (random.nextInt(20) == 0) {
        process.meet(gateways);
      }
      forward(process, random, now);
    }
    assertThat(repeats).isNotEmpty();
    repeats.forEach(this::checkWindow);
  }

  @ParameterizedTest(name = "{0}: taken from the budget {1}")
  @CsvSource({"FAILED, true", "REFUSED, true", "UNCONNECTED, false"})
  void onlyAttemptsThatReachedAnEndpointAreChargedFor(String kind, boolean charged) {
    GatewayProcess process = new GatewayProcess(1);
    ForwardedCall call = call(0);
    Failure failure =
        switch (kind) {
          case "FAILED" -> FAILED;
          case "REFUSED" -> REFUSED;
          default -> UNCONNECTED;
        };
    assertThat(process.retries.tryRetry(call, failure, START)).isEqualTo(!charged);
  }

  /** Sends a request whose attempts mostly fail, so that it is repeated while the budget allows. */
  private void forward(GatewayProcess process, SplittableRandom random, Instant now) {
    ForwardedCall call = call(requests.size());
    requests.add(now);
    process.retries.recordFirstAttempt(call);
    for (int i = 1; i < ForwardRetries.MAX_ATTEMPTS && random.nextInt(10) > 0; i++) {
      if (process.retries.tryRetry(call, random.nextBoolean() ? FAILED : REFUSED, now)) {
        repeats.add(now);
      }
    }
  }

  private void checkWindow(Instant end) {
    Instant from = end.minus(WINDOW);
    long repeated = countWithin(repeats, from, end);
    assertThat((double) repeated)
        .isLessThanOrEqualTo(RATIO * countWithin(requests, from, end) + EXTRA);
  }

  private static long countWithin(List<Instant> times, Instant from, Instant to) {
    return times.stream().filter(at -> at.isAfter(from) && !at.isAfter(to)).count();
  }

  private static Stream<Arguments> runs() {
    return LongStream.range(0, 12)
        .boxed()
        .flatMap(
            seed ->
                Stream.of(
                    Arguments.of(seed, 6, 25),
                    Arguments.of(seed, 6, 100),
                    Arguments.of(seed, 20, 10),
                    Arguments.of(seed, 20, 4_000)));
  }

  private static HostDescription host(int number) {
    HostAddress address = new HostAddress("10.0.0." + (1 + number), 7600);
    Place place = new Place(new RegionId("east"), new DataCentreId("east-a"));
    return new HostDescription(
        new HostId("g" + number), place, address, address, address, 0, false);
  }

  private static ForwardedCall call(int number) {
    ForwardRoute route =
        new ForwardRoute(
            new RouteId("r1"),
            "host.example",
            "/a/",
            new RetrySemantics.Idempotent(),
            Duration.ofSeconds(5),
            Duration.ofMillis(300),
            0,
            List.of(new ForwardRoute.WeightedService("app", 1)),
            ForwardRetries.MAX_ATTEMPTS,
            true,
            false,
            Set.of());
    ForwardRequest request =
        new ForwardRequest(
            new RequestId("q" + number),
            "q" + number,
            "host.example",
            "/a/1",
            Optional.empty(),
            START.plus(STEP.multipliedBy(STEPS)),
            Optional.empty(),
            OptionalLong.empty(),
            new Prompt(List.of()));
    return new ForwardedCall(request, 0, route, Optional.empty());
  }
}
