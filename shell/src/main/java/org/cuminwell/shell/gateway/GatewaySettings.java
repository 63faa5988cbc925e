package org.cuminwell.shell.gateway;

import java.util.List;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.HostAddress;

/**
 * Holds the checked settings of a gateway. Immutable and thread safe.
 *
 * @param self how this host describes itself
 * @param controls the peer addresses of the control hosts
 */
public record GatewaySettings(HostDescription self, List<HostAddress> controls) {

  /** Copies the list. */
  public GatewaySettings {
    controls = List.copyOf(controls);
  }
}
