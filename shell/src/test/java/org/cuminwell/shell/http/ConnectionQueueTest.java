package org.cuminwell.shell.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a listener serves callers in time however many more come than it can serve. */
final class ConnectionQueueTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration DAY = Duration.ofSeconds(60);

  /** How long a caller waits for its request to be read. */
  private static final Duration PATIENCE = Duration.ofSeconds(1);

  private final ConnectionQueue<Instant> queue = new ConnectionQueue<>();
  private final Deque<Instant> settingUp = new ArrayDeque<>();
  private int setUpInTime;
  private int setUpLate;
  private int closed;

  @ParameterizedTest(name = "a connection each {0} ms, {1} ms to set one up")
  @CsvSource({"50, 20", "10, 20", "10, 50", "5, 100", "1, 100"})
  void callersAreServedInTimeHoweverManyCome(int arrivalMillis, int setUpMillis) {
    Instant busyUntil = START;
    int arrivals = 0;
    for (int millis = 0; millis < DAY.toMillis(); millis++) {
      Instant now = START.plusMillis(millis);
      if (millis % arrivalMillis == 0) {
        apply(queue.add(now, now), now);
        arrivals++;
      }
      if (!settingUp.isEmpty() && !now.isBefore(busyUntil)) {
        recordSetUp(settingUp.removeFirst(), now);
        busyUntil = now.plusMillis(setUpMillis);
        apply(queue.recordSetUp(now), now);
      }
      assertThat(settingUp.size()).isLessThanOrEqualTo(ConnectionQueue.MAX_SETTING_UP);
      assertThat(queue.waiting()).isLessThanOrEqualTo(ConnectionQueue.MAX_WAITING);
    }
    double capacity = (double) DAY.toMillis() / Math.max(arrivalMillis, setUpMillis);
    assertThat(setUpInTime).isGreaterThan((int) (0.95 * capacity));
    assertThat(setUpLate).isZero();
    assertThat(setUpInTime + closed + settingUp.size() + queue.waiting()).isEqualTo(arrivals);
  }

  private void apply(ConnectionQueue.Decision<Instant> decision, Instant now) {
    closed += decision.closed().size();
    decision
        .next()
        .ifPresent(
            next -> {
              assertThat(next.waited()).isEqualTo(Duration.between(next.connection(), now));
              settingUp.addLast(next.connection());
            });
  }

  private void recordSetUp(Instant arrivedAt, Instant now) {
    if (now.isBefore(arrivedAt.plus(PATIENCE))) {
      setUpInTime++;
    } else {
      setUpLate++;
    }
  }
}
