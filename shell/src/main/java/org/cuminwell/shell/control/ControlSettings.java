package org.cuminwell.shell.control;

import java.util.List;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/**
 * Holds the checked settings of a control host. Immutable and thread safe.
 *
 * @param operators where operators reach it over HTTP
 * @param peer where the system's own messages reach it
 * @param controls the peer addresses of all control hosts
 */
public record ControlSettings(
    HostId self, HostAddress operators, HostAddress peer, List<HostAddress> controls) {

  /** Copies the list. */
  public ControlSettings {
    controls = List.copyOf(controls);
  }
}
