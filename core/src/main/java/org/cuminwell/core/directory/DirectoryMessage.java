package org.cuminwell.core.directory;

import java.util.List;
import java.util.Set;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/** Carries what is known of the entry hosts. Immutable and thread safe. */
public sealed interface DirectoryMessage {

  /** Describes the sender, a gateway. */
  record GatewayHello(HostDescription host) implements DirectoryMessage {}

  /**
   * Says that the sender is a control host.
   *
   * @param controlAddresses the peer addresses of the control hosts that it knows, its own among
   *     them
   */
  record ControlHello(Set<HostAddress> controlAddresses) implements DirectoryMessage {
    /** Copies the set. */
    public ControlHello {
      controlAddresses = Set.copyOf(controlAddresses);
    }
  }

  /**
   * Tells of entry hosts; those not named stay as they were.
   *
   * @param hosts what is known now of hosts that are in contact
   * @param removed hosts that have been out of contact for long
   */
  record Hosts(List<HostDescription> hosts, List<HostId> removed) implements DirectoryMessage {
    /** Copies the lists. */
    public Hosts {
      hosts = List.copyOf(hosts);
      removed = List.copyOf(removed);
    }
  }
}
