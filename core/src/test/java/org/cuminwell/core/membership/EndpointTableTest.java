package org.cuminwell.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when an endpoint counts as started again. */
final class EndpointTableTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TIME_TO_LIVE = Duration.ofSeconds(10);

  private final EndpointTable table = new EndpointTable();

  @ParameterizedTest(name = "e1 at port 80, incarnation 5; then {0} at port {1}, incarnation {2}")
  @CsvSource({
    "e1, 80, 6, true",
    "e1, 81, 6, true",
    "e1, 80, 5, false",
    "e1, 80, 4, false",
    "e2, 80, 6, true",
    "e2, 80, 4, false",
    "e2, 81, 6, false",
  })
  void laterIncarnationsShowThatTheEarlierOneEnded(
      String id, int port, long incarnation, boolean restarted) {
    EndpointIncarnation first = new EndpointIncarnation(new EndpointId("e1"), 5);
    table.recordAnnouncement(announcement("e1", 80, 5), START);
    table.recordAnnouncement(announcement(id, port, incarnation), START.plusSeconds(1));
    assertThat(table.hasRestarted(first)).isEqualTo(restarted);
    table.removeExpired(START.plus(EndpointTable.DEPARTURE_RETENTION).plusSeconds(2));
    assertThat(table.hasRestarted(first)).as("remembered for ever").isFalse();
  }

  private static Announcement announcement(String id, int port, long incarnation) {
    return new Announcement(
        new EndpointId(id),
        incarnation,
        new Place(new RegionId("coast"), new DataCentreId("dakar")),
        new HostAddress("10.0.0.1", port),
        Set.of("model"),
        new VersionId("v1"),
        4,
        TIME_TO_LIVE,
        false);
  }
}
