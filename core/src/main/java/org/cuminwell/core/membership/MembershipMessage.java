package org.cuminwell.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.EndpointId;

/**
 * Carries the reports of endpoints from the process that received them to its peers. Immutable and
 * thread safe.
 */
public sealed interface MembershipMessage {

  /**
   * Sends what endpoints reported to the sender since an earlier update.
   *
   * @param start increases with each start of the sender, which also restarts its versions
   * @param from the version that the items follow; 0 for a full update
   * @param to the version after the items
   * @param loads the load that the sender puts on endpoints, if it is time to report it
   */
  record Update(long start, long from, long to, List<Item> items, Optional<LoadDigest> loads)
      implements MembershipMessage {
    /** Copies the list. */
    public Update {
      items = List.copyOf(items);
    }

    /** Creates an update without loads. */
    public Update(long start, long from, long to, List<Item> items) {
      this(start, from, to, items, Optional.empty());
    }
  }

  /** Requests a full update, because an update was missed or the connection is new. */
  record FullUpdateRequest() implements MembershipMessage {}

  /** Describes one event of an endpoint. Immutable and thread safe. */
  sealed interface Item {

    /**
     * Reports that an endpoint has announced itself.
     *
     * @param remaining how much of its time to live is left
     */
    record Announced(Announcement announcement, Duration remaining, Optional<LoadReport> load)
        implements Item {}

    /** Reports that an endpoint known to the receiver has announced itself again, unchanged. */
    record Renewed(
        EndpointId endpoint, long incarnation, Duration remaining, Optional<LoadReport> load)
        implements Item {}

    /**
     * Reports that every endpoint that the sender has sent has announced itself again, unchanged,
     * except those that are {@link Stale}, are leaving or have an item of their own in the same
     * update.
     *
     * @param age the longest time since the sender heard from any of them
     */
    record AllRenewed(Duration age) implements Item {}

    /**
     * Reports that an endpoint has not announced itself for a while, so later renewals do not cover
     * it.
     */
    record Stale(EndpointId endpoint, long incarnation) implements Item {}

    /**
     * Reports that an endpoint has refused a request and asked for none until a time.
     *
     * @param remaining how long it must not be sent requests
     */
    record Paused(EndpointId endpoint, long incarnation, Duration remaining) implements Item {}

    /** Reports that an endpoint has said that it leaves. */
    record Leaving(EndpointId endpoint, long incarnation) implements Item {}
  }
}
