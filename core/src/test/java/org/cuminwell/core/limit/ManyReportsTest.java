package org.cuminwell.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.limit.LimitMessage.Grant;
import org.cuminwell.core.limit.LimitMessage.Report;
import org.cuminwell.core.limit.ShareHolder.AddressedMessage;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TokenLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a leader answers any number of reports with one grant per gateway and tick, since it
 * divides limits on the thread that keeps its lead.
 */
final class ManyReportsTest {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final CustomerId CUSTOMER = new CustomerId("acme");
  private static final long LARGEST = 9_190;

  @ParameterizedTest(name = "{0} gateways, {1} reports of each in a tick")
  @CsvSource({"6, 1", "6, 5", "94, 1", "94, 5", "300, 5"})
  void reportsOfOneTickAreAnsweredByOneGrantPerGateway(int gateways, int reports) {
    ShareGranter granter = new ShareGranter();
    granter.configure(configuration());
    granter.becomeLeader(1, START);
    Instant now = START.plus(Duration.ofSeconds(6));
    granter.tick(now);

    for (int sequence = 1; sequence <= reports; sequence++) {
      for (int host = 0; host < gateways; host++) {
        granter.onMessage(host(host), report(sequence), now);
      }
    }
    List<AddressedMessage> messages = new ArrayList<>(granter.tick(now));

    messages.removeIf(message -> !(message.message() instanceof Grant));
    assertThat(messages)
        .extracting(AddressedMessage::to)
        .containsExactlyInAnyOrderElementsOf(
            IntStream.range(0, gateways).mapToObj(ManyReportsTest::host).toList());
    assertThat(messages)
        .allSatisfy(
            message ->
                assertThat(((Grant) message.message()).answeredSequence()).isEqualTo(reports));
    assertThat(granter.tick(now)).isEmpty();
  }

  private static HostId host(int number) {
    return new HostId("g" + number);
  }

  private static Report report(int sequence) {
    Demand demand = new Demand(CUSTOMER, 1_000, LARGEST, LARGEST, 0);
    return new Report(1, 1, sequence, 0, List.of(demand), List.of());
  }

  private static Configuration configuration() {
    RegionId region = new RegionId("coast");
    Customer customer =
        new Customer(CUSTOMER, Set.of(), new TokenLimit(100_000, 150_000), Set.of());
    return new Configuration(
        new Revision(1),
        Map.of(CUSTOMER, customer),
        Map.of(),
        Map.of(region, new Region(region, Set.of(new DataCentreId("dakar")))),
        Map.of());
  }
}
