package org.cuminwell.core.distribution;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;

/** Carries the configuration between control hosts and gateways. Immutable and thread safe. */
public sealed interface DistributionMessage {

  /** Sends the whole configuration. */
  record Full(Configuration configuration) implements DistributionMessage {}

  /**
   * Sends the changes that follow a revision, one for each later revision.
   *
   * @param from the only revision that the changes apply to
   */
  record Difference(Revision from, List<ConfigurationChange> changes)
      implements DistributionMessage {
    /**
     * Copies the list.
     *
     * @throws IllegalArgumentException if there is no change
     */
    public Difference {
      changes = List.copyOf(changes);
      if (changes.isEmpty()) {
        throw new IllegalArgumentException("a difference must contain at least one change");
      }
    }

    /** Returns the revision after the last change. */
    public Revision to() {
      return new Revision(from.value() + changes.size());
    }
  }

  /** Reports the revision that the sender has in force. */
  record RevisionInForce(Revision revision) implements DistributionMessage {}

  /** Requests the changes after the revision that the sender has in force. */
  record ChangesRequest(Revision revisionInForce) implements DistributionMessage {}

  /**
   * Asks a control host for the latest revision.
   *
   * @param askedAt the requester's time, returned with the response
   */
  record LatestRevisionRequest(Instant askedAt) implements DistributionMessage {}

  /**
   * Reports a revision that includes every change committed before the request was sent.
   *
   * @param askedAt the requester's time of the request
   */
  record LatestRevision(Instant askedAt, Revision revision) implements DistributionMessage {}

  /** Reports to control hosts the revisions that the gateways of one data centre have in force. */
  record ConfirmedRevisions(Map<HostId, Revision> revisions) implements DistributionMessage {
    /** Copies the map. */
    public ConfirmedRevisions {
      revisions = Map.copyOf(revisions);
    }
  }
}
