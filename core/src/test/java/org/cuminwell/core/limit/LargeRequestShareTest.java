package org.cuminwell.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cuminwell.core.limit.ShareFleet.Faults;
import org.cuminwell.core.limit.ShareFleet.Ledger;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.TokenLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that requests within their customer's rate are served, even if the burst is too small for
 * one request of every gateway.
 */
class LargeRequestShareTest {

  /** Fraction of the requests that must be served in time. */
  private static final double MIN_SERVED_FRACTION = 0.95;

  private static final Duration SETTLING_TIME = Duration.ofSeconds(10);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(60);

  private record WaitingRequest(HostId host, long tokens, Instant giveUpAt) {}

  @ParameterizedTest(
      name = "{0} gateways, {1} tokens a second, burst {2}, {4} of the rate requested")
  @CsvSource({
    "3, 100000, 100000, 9190, 0.5",
    "6, 100000, 100000, 9190, 0.5",
    "24, 100000, 100000, 9190, 0.5",
    "76, 100000, 100000, 9190, 0.5",
    "76, 30000, 90000, 9190, 0.5",
    "76, 370000, 370000, 9190, 0.7",
    "300, 370000, 370000, 9190, 0.5",
  })
  void requestsWithinTheRateRunEvenIfTheBurstHoldsFewerRequestsThanGateways(
      int gateways, long rate, long burst, long largest, double load) {
    ShareFleet fleet =
        new ShareFleet(gateways, new TokenLimit(rate, burst), Faults.NONE, 0, gateways);
    SplittableRandom random = new SplittableRandom(gateways + rate);
    List<HostId> hosts = new ArrayList<>(fleet.hosts());
    ArrayDeque<WaitingRequest> waitingRequests = new ArrayDeque<>();
    Ledger ledger = new Ledger();
    fleet.startNewLeader();
    Instant measureFrom = fleet.now.plus(SETTLING_TIME);
    int requestCount = 0;
    int servedCount = 0;
    int overRateCount = 0;
    double dueTokens = 0;
    while (fleet.now.isBefore(measureFrom.plus(MEASURED_TIME))) {
      fleet.step();
      boolean isMeasured = !fleet.now.isBefore(measureFrom);
      dueTokens += load * (double) rate * ShareFleet.TICK.toMillis() / 1e3;
      while (dueTokens > 0) {
        long tokens = random.nextInt(3) == 0 ? largest / 8 : largest;
        dueTokens -= (double) tokens;
        HostId host = hosts.get(random.nextInt(hosts.size()));
        Instant giveUpAt = fleet.now.plus(ShareWaitQueue.MAX_WAIT);
        requestCount += isMeasured ? 1 : 0;
        switch (fleet.holder(host).admit(fleet.customer(), tokens, fleet.now)) {
          case Admission.Admitted a -> {
            ledger.charge(tokens, fleet.now);
            servedCount += isMeasured ? 1 : 0;
          }
          case Admission.ShareShort a ->
              waitingRequests.add(new WaitingRequest(host, tokens, giveUpAt));
          case Admission.OverRate a -> overRateCount += isMeasured ? 1 : 0;
          case Admission.TooLarge a ->
              throw new AssertionError("no request is larger than the burst");
        }
      }
      for (WaitingRequest next : List.copyOf(waitingRequests)) {
        if (next.giveUpAt().isBefore(fleet.now)) {
          waitingRequests.remove(next);
        } else if (fleet.holder(next.host()).admitAgain(fleet.customer(), next.tokens(), fleet.now)
            instanceof Admission.Admitted) {
          waitingRequests.remove(next);
          ledger.charge(next.tokens(), fleet.now);
          servedCount += isMeasured ? 1 : 0;
        }
      }
    }

    assertThat(ledger.worstExcess((double) rate, (double) burst)).isNotPositive();
    assertThat((double) servedCount / requestCount)
        .as("served; %s of %s were refused as over the rate", overRateCount, requestCount)
        .isGreaterThanOrEqualTo(MIN_SERVED_FRACTION);
  }
}
