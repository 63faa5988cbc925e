package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
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
    handler.onAnnouncement(announcement(), new RequestAge(NOW.minusMillis(ageMillis)), NOW);
    assertThat(handler.table().find(ENDPOINT).isPresent()).isEqualTo(known);
  }

  private static Announcement announcement() {
    return new Announcement(
        ENDPOINT,
        1,
        new Place(new RegionId("r"), new DataCentreId("d")),
        new HostAddress("10.0.0.1", 80),
        Set.of("app"),
        new VersionId("v1"),
        4,
        Duration.ofSeconds(10),
        false,
        1,
        Duration.ZERO);
  }
}
