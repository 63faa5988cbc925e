package org.cuminwell.core.directory;

import java.util.List;
import java.util.Set;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/** Carries descriptions of entry hosts and control hosts. Immutable and thread safe. */
public sealed interface DirectoryMessage {

  /** Introduces the sender as a gateway. */
  record GatewayHello(HostDescription host) implements DirectoryMessage {}

  /**
   * Introduces the sender as a control host.
   *
   * @param controlAddresses the peer addresses of the control hosts that the sender knows,
   *     including itself
   */
  record ControlHello(Set<HostAddress> controlAddresses) implements DirectoryMessage {
    /** Copies the set. */
    public ControlHello {
      controlAddresses = Set.copyOf(controlAddresses);
    }
  }

  /**
   * Updates the directory of entry hosts; hosts that are not named stay unchanged.
   *
   * @param hosts the current descriptions of connected hosts
   * @param removed hosts that have been disconnected for long
   */
  record Hosts(List<HostDescription> hosts, List<HostId> removed) implements DirectoryMessage {
    /** Copies the lists. */
    public Hosts {
      hosts = List.copyOf(hosts);
      removed = List.copyOf(removed);
    }
  }
}
