package org.cuminwell.core.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FairQueueTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);

  private long nextId = 1;

  @ParameterizedTest(name = "costs of {0} and {1} tokens")
  @CsvSource({"100, 100", "100, 1000", "50, 4000", "3000, 7", "499, 501"})
  void startsEqualTokensOfBackloggedCustomers(long costA, long costB) {
    FairQueue queue = new FairQueue(100_000, 200_000);
    Map<CustomerId, Long> started = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      offer(queue, "a", costA, 3_600, 0);
      offer(queue, "b", costB, 3_600, 0);
    }
    long budget = 400 * Math.min(costA, costB) * 2 / 3;
    while (started.values().stream().mapToLong(Long::longValue).sum() < budget) {
      QueuedRequest next = queue.poll(START).orElseThrow();
      started.merge(next.customer(), next.costTokens(), Long::sum);
    }

    long difference =
        Math.abs(
            started.getOrDefault(new CustomerId("a"), 0L)
                - started.getOrDefault(new CustomerId("b"), 0L));
    assertThat(difference).isLessThanOrEqualTo(Math.max(costA, costB) + FairQueue.QUANTUM_TOKENS);
  }

  @ParameterizedTest(name = "{0} of a, {1} of b, then one of a: queued {2}")
  @CsvSource({"0, 0, true", "2, 0, true", "3, 0, false", "1, 4, false", "0, 3, true"})
  void limitsQueuedRequestsPerCustomerAndInTotal(int ofA, int ofB, boolean queued) {
    FairQueue queue = new FairQueue(3, 5);
    for (int i = 0; i < ofA; i++) {
      offer(queue, "a", 10, 60, 0);
    }
    for (int i = 0; i < ofB; i++) {
      offer(queue, "b", 10, 60, 0);
    }

    assertThat(offer(queue, "a", 10, 60, 0) instanceof OfferResult.Queued)
        .isEqualTo(queued || ofB == 4);
  }

  @ParameterizedTest(
      name = "100 tokens a second start, {0} tokens wait, deadline in {1} s: queued {2}")
  @CsvSource({"100, 10, true", "900, 10, true", "2000, 10, false", "2000, 60, true"})
  void refusesRequestsThatWouldWaitBeyondTheirDeadline(
      long queuedTokens, int deadlineSeconds, boolean queued) {
    FairQueue queue = new FairQueue(1_000, 1_000);
    for (int i = 0; i < 10 + queuedTokens / 10; i++) {
      offer(queue, "a", 10, 3_600, 0);
    }
    for (int step = 1; step <= 10; step++) {
      var _ = queue.poll(START.plusMillis(step * 100L));
    }

    OfferResult result = offer(queue, "a", 10, 1 + deadlineSeconds, 1);
    assertThat(result instanceof OfferResult.Queued).isEqualTo(queued);
    if (result instanceof OfferResult.Refused refused) {
      assertThat(refused.retryAfter().toSeconds()).isBetween(queuedTokens / 200, queuedTokens / 50);
    }
  }

  @ParameterizedTest(name = "deadlines at {0} and {1} s, now {2} s: {3} remain")
  @CsvSource({"5, 9, 4, 2", "5, 9, 5, 1", "5, 9, 8, 1", "5, 9, 9, 0"})
  void expiresRequestsAtTheirDeadline(int first, int second, int now, int remaining) {
    FairQueue queue = new FairQueue(10, 10);
    offer(queue, "a", 10, first, 0);
    offer(queue, "a", 10, second, 0);
    int expired = queue.expire(START.plusSeconds(now)).size();

    assertThat(queue.size()).isEqualTo(remaining);
    assertThat(expired).isEqualTo(2 - remaining);
    assertThat(queue.poll(START).isPresent()).isEqualTo(remaining > 0);
  }

  private OfferResult offer(FairQueue queue, String customer, long cost, long deadline, long now) {
    RequestId id = new RequestId(String.valueOf(nextId++));
    return queue.offer(
        new QueuedRequest(id, new CustomerId(customer), cost, START.plusSeconds(deadline)),
        START.plusSeconds(now));
  }
}
