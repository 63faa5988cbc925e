package org.cuminwell.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.EndpointId;

/**
 * Carries what one gateway has heard from endpoints to its neighbours. Immutable and thread safe.
 */
public sealed interface MembershipMessage {

  /**
   * Tells what the sender has heard itself since an earlier message.
   *
   * @param start grows with each start of the sender, whose versions begin anew
   * @param from the version that the items follow; 0 for everything the sender has heard
   * @param to the version after the items
   */
  record Update(long start, long from, long to, List<Item> items) implements MembershipMessage {
    /** Copies the list. */
    public Update {
      items = List.copyOf(items);
    }
  }

  /** Asks for everything that the receiver has heard itself, because a message was missed. */
  record FullUpdateRequest() implements MembershipMessage {}

  /** Is one thing that was heard from an endpoint. Immutable and thread safe. */
  sealed interface Item {

    /**
     * An endpoint has announced itself.
     *
     * @param remaining how much of its time to live is left
     */
    record Announced(Announcement announcement, Duration remaining, Optional<LoadReport> load)
        implements Item {}

    /** An endpoint known to the receiver has announced itself again, unchanged. */
    record Renewed(
        EndpointId endpoint, long incarnation, Duration remaining, Optional<LoadReport> load)
        implements Item {}

    /**
     * Every endpoint that the sender has told of has announced itself again, unchanged, but for
     * those that are {@link Stale}, have left or stand in the same message.
     *
     * @param age how long ago at most it heard each of them
     */
    record AllRenewed(Duration age) implements Item {}

    /** An endpoint has not announced itself for a while, so later renewals leave it out. */
    record Stale(EndpointId endpoint, long incarnation) implements Item {}

    /** An endpoint has said that it leaves. */
    record Leaving(EndpointId endpoint, long incarnation) implements Item {}
  }
}
