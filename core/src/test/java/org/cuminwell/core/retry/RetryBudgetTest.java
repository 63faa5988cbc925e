package org.cuminwell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {

  @ParameterizedTest(name = "{0} requests that all fail: {1} retries")
  @CsvSource({"0, 20", "5, 20", "100, 40", "1000, 220"})
  void limitsRetriesToAFractionOfRequests(int requests, int retries) {
    RetryBudget budget = new RetryBudget();
    int spent = 0;
    for (int i = 0; i < requests; i++) {
      budget.recordFirstAttempt();
      spent += spendAll(budget);
    }
    spent += spendAll(budget);

    assertThat(spent).isBetween(retries - 1, retries);
    assertThat(budget.trySpend()).isFalse();
  }

  private static int spendAll(RetryBudget budget) {
    int spent = 0;
    while (budget.trySpend()) {
      spent++;
    }
    return spent;
  }
}
