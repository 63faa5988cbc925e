package org.cuminwell.core.directory;

import java.util.List;

/** Carries what is known of the entry hosts. Immutable and thread safe. */
public sealed interface DirectoryMessage {

  /** Describes the sender. */
  record Here(HostDescription host) implements DirectoryMessage {}

  /** Lists every entry host that the sender knows. */
  record Hosts(List<HostDescription> hosts) implements DirectoryMessage {
    /** Copies the list. */
    public Hosts {
      hosts = List.copyOf(hosts);
    }
  }
}
