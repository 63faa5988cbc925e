package org.cuminwell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.cuminwell.core.model.Verdict;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {

  private static final Instant DEADLINE = Instant.ofEpochSecond(100);

  @ParameterizedTest(name = "attempt {0}, {1}, idempotent {2}, response started {3}, at {4} s: {5}")
  @CsvSource({
    "1, not_run,      false, false, 50,  true",
    "1, may_have_run, false, false, 50,  false",
    "1, ran,          false, false, 50,  false",
    "1, may_have_run, true,  false, 50,  true",
    "1, ran,          true,  false, 50,  true",
    "1, not_run,      true,  true,  50,  false",
    "1, may_have_run, true,  true,  50,  false",
    "3, not_run,      true,  false, 50,  false",
    "1, not_run,      true,  false, 100, false",
  })
  void allowsRetryOnlyWhereItIsSafe(
      int attempts,
      String verdict,
      boolean idempotent,
      boolean responseStarted,
      long nowSeconds,
      boolean allowed) {
    assertThat(
            RetryPolicy.DEFAULT.allowsRetry(
                attempts,
                verdict(verdict),
                idempotent,
                responseStarted,
                DEADLINE,
                Instant.ofEpochSecond(nowSeconds)))
        .isEqualTo(allowed);
  }

  private static Verdict verdict(String label) {
    return switch (label) {
      case "not_run" -> Verdict.notRun();
      case "may_have_run" -> Verdict.mayHaveRun();
      case "ran" -> Verdict.ran();
      default -> throw new IllegalArgumentException(label);
    };
  }
}
