package org.cuminwell.core.directory;

import java.util.List;
import org.cuminwell.core.model.HostId;

/** Carries what is known of the entry hosts. Immutable and thread safe. */
public sealed interface DirectoryMessage {

  /** Describes the sender, a gateway. */
  record Here(HostDescription host) implements DirectoryMessage {}

  /** Says that the sender is a control host. */
  record ControlHere() implements DirectoryMessage {}

  /**
   * Tells of entry hosts; those not named stay as they were.
   *
   * @param hosts what is known now of hosts that are in contact
   * @param gone hosts that have been out of contact for long
   */
  record Hosts(List<HostDescription> hosts, List<HostId> gone) implements DirectoryMessage {
    /** Copies the lists. */
    public Hosts {
      hosts = List.copyOf(hosts);
      gone = List.copyOf(gone);
    }
  }
}
