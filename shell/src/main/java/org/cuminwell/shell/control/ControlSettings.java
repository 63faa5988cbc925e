package org.cuminwell.shell.control;

import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.peer.TlsFiles;

/**
 * Holds the checked settings of a control host. Immutable and thread safe.
 *
 * @param operators where operators reach it over HTTP
 * @param peer where the system's own messages reach it
 * @param controls the peer addresses of all control hosts
 * @param agreement what makes this host one of several that agree
 * @param access knows who may operate the system
 * @param fronts what serves the same in other forms
 * @param tls proves this host to others; without it peers are believed
 */
public record ControlSettings(
    HostId self,
    HostAddress operators,
    HostAddress peer,
    List<HostAddress> controls,
    AgreementSettings agreement,
    OperatorAccess access,
    List<AddedFront> fronts,
    Optional<TlsFiles> tls) {

  /** Copies the list. */
  public ControlSettings {
    controls = List.copyOf(controls);
    fronts = List.copyOf(fronts);
  }

  ControlSettings with(List<HostAddress> otherControls, AgreementSettings otherAgreement) {
    return new ControlSettings(
        self, operators, peer, otherControls, otherAgreement, access, fronts, tls);
  }
}
