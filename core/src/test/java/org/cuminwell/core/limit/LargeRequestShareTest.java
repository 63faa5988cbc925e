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

/** Checks that requests within their customer's rate run, however many gateways they come to. */
class LargeRequestShareTest {

  /** The part of the requests that the service aims to serve in time. */
  private static final double SERVED = 0.95;

  private static final Duration SETTLING = Duration.ofSeconds(10);
  private static final Duration LENGTH = Duration.ofSeconds(60);

  private record Waiting(HostId host, long tokens, Instant until) {}

  @ParameterizedTest(name = "{0} gateways, {1} tokens a second, burst {2}, {4} of the rate asked")
  @CsvSource({
    "3, 100000, 100000, 9190, 0.5",
    "6, 100000, 100000, 9190, 0.5",
    "24, 100000, 100000, 9190, 0.5",
    "76, 100000, 100000, 9190, 0.5",
    "76, 30000, 90000, 9190, 0.5",
    "76, 370000, 370000, 9190, 0.7",
    "300, 370000, 370000, 9190, 0.5",
  })
  void requestsWithinTheRateRunThoughTheBurstHoldsFewerThanThereAreGateways(
      int gateways, long rate, long burst, long largest, double load) {
    ShareFleet fleet =
        new ShareFleet(gateways, new TokenLimit(rate, burst), Faults.NONE, 0, gateways);
    SplittableRandom random = new SplittableRandom(gateways + rate);
    List<HostId> hosts = new ArrayList<>(fleet.hosts());
    ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    Ledger ledger = new Ledger();
    fleet.lead();
    Instant begin = fleet.now.plus(SETTLING);
    int asked = 0;
    int served = 0;
    int overRate = 0;
    double due = 0;
    while (fleet.now.isBefore(begin.plus(LENGTH))) {
      fleet.step();
      boolean counts = !fleet.now.isBefore(begin);
      due += load * (double) rate * ShareFleet.TICK.toMillis() / 1e3;
      while (due > 0) {
        long tokens = random.nextInt(3) == 0 ? largest / 8 : largest;
        due -= (double) tokens;
        HostId host = hosts.get(random.nextInt(hosts.size()));
        Instant until = fleet.now.plus(ShareWaitQueue.LONGEST_WAIT);
        asked += counts ? 1 : 0;
        switch (fleet.holder(host).admit(fleet.customer(), tokens, fleet.now)) {
          case Admission.Admitted a -> {
            ledger.charge(tokens, fleet.now);
            served += counts ? 1 : 0;
          }
          case Admission.ShareShort a -> waiting.add(new Waiting(host, tokens, until));
          case Admission.OverRate a -> overRate += counts ? 1 : 0;
          case Admission.TooLarge a ->
              throw new AssertionError("no request is larger than the burst");
        }
      }
      for (Waiting next : List.copyOf(waiting)) {
        if (next.until().isBefore(fleet.now)) {
          waiting.remove(next);
        } else if (fleet.holder(next.host()).admitAgain(fleet.customer(), next.tokens(), fleet.now)
            instanceof Admission.Admitted) {
          waiting.remove(next);
          ledger.charge(next.tokens(), fleet.now);
          served += counts ? 1 : 0;
        }
      }
    }

    assertThat(ledger.worstExcess((double) rate, (double) burst)).isNotPositive();
    assertThat((double) served / asked)
        .as("served; %s of %s were refused as over the rate", overRate, asked)
        .isGreaterThanOrEqualTo(SERVED);
  }
}
