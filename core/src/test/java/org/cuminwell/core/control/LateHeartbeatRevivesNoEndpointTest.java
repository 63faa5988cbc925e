package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.cuminwell.core.model.EndpointId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a heartbeat that waited in the socket of a frozen host reviving an endpoint that
 * has ended since.
 */
final class LateHeartbeatRevivesNoEndpointTest {

  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");
  private static final EndpointId ENDPOINT = new EndpointId("e1");

  @ParameterizedTest(name = "{0} ms old: the endpoint is known {1}")
  @CsvSource({"0, true", "999, true", "1000, false", "3000, false"})
  void onlyAYoungHeartbeatCounts(long ageMillis, boolean known) {
    EndpointHandler handler = new EndpointHandler(List::of);
    handler.onAnnouncement(
        TestAnnouncement.first(ENDPOINT, 1), new RequestAge(NOW.minusMillis(ageMillis)), NOW);
    assertThat(handler.table().find(ENDPOINT).isPresent()).isEqualTo(known);
  }
}
