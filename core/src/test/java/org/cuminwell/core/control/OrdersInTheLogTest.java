package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Arrays;
import java.util.OptionalLong;
import org.cuminwell.core.model.DataCentreId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an order taking effect after an acknowledged one that it did not know of, also if
 * that one changed nothing.
 */
final class OrdersInTheLogTest {

  private static final Instant AT = Instant.parse("2030-01-01T00:00:00Z");
  private static final DataCentreId DATA_CENTRE = new DataCentreId("dc-a");

  /**
   * Each order is "+" or "-" for the begin or end of the evacuation, and its basis if it has one.
   */
  @ParameterizedTest(name = "{0}: the last is carried out {1}, evacuated {2}")
  @CsvSource({
    "+0, true, true",
    "-0, true, false",
    "+0 -0, false, true",
    "+0 -1, true, false",
    "+0 +0, true, true",
    "+0 +1 -1, false, true",
    "+0 +0 -1, false, true",
    "+0 +1 -2, true, false",
    "-0 +0, false, false",
    "-0 +1, true, true",
    "+0 -1 +0, false, false",
    "+ -, true, false",
    "+ -0, true, false",
  })
  void laterOrderIsRefusedUnlessItKnewTheOnesBefore(
      String orders, boolean carriedOut, boolean evacuated) {
    ReplicatedState state = new ReplicatedState();
    CommandResult last =
        Arrays.stream(orders.split(" ", -1))
            .map(order -> state.apply(command(order), AT))
            .reduce((_, next) -> next)
            .orElseThrow();

    assertThat(last instanceof CommandResult.OrderCarriedOut).isEqualTo(carriedOut);
    assertThat(state.configuration().forwarding().evacuated().contains(DATA_CENTRE))
        .isEqualTo(evacuated);
  }

  private static Command command(String order) {
    String basis = order.substring(1);
    return new Command.CarryOut(
        new OperatorOrder.Evacuate(DATA_CENTRE, order.startsWith("+")),
        basis.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(basis)));
  }
}
