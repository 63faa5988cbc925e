package org.cuminwell.core.control;

import java.time.Duration;
import java.util.Set;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;

/** Makes announcements of endpoints. */
final class TestAnnouncement {

  private TestAnnouncement() {}

  /** Returns the first announcement of an incarnation. */
  static Announcement first(EndpointId endpoint, long incarnation) {
    return new Announcement(
        endpoint,
        incarnation,
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
