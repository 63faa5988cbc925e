package org.cuminwell.shell.control;

import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.peer.TlsFiles;

/**
 * Holds the validated settings of a control host. Immutable and thread safe.
 *
 * @param self the id of this control host
 * @param operatorAddress the address for operators over HTTP
 * @param peerAddress the address for messages from other hosts of the system
 * @param controlAddresses the peer addresses of all control hosts
 * @param agreement the settings of the consensus with the other control hosts
 * @param access checks which requests come from operators
 * @param frontEnds further front ends, each at its own address
 * @param tls the certificate files for mutual authentication; if empty, peers are not authenticated
 * @param duties the duties that this host may hold, if there are any
 */
public record ControlSettings(
    HostId self,
    HostAddress operatorAddress,
    HostAddress peerAddress,
    List<HostAddress> controlAddresses,
    AgreementSettings agreement,
    OperatorAccess access,
    List<AdditionalFrontEnd> frontEnds,
    Optional<TlsFiles> tls,
    Optional<DutyClientSettings> duties) {

  /** Creates the settings of a control host without duties. */
  public ControlSettings(
      HostId self,
      HostAddress operatorAddress,
      HostAddress peerAddress,
      List<HostAddress> controlAddresses,
      AgreementSettings agreement,
      OperatorAccess access,
      List<AdditionalFrontEnd> frontEnds,
      Optional<TlsFiles> tls) {
    this(
        self,
        operatorAddress,
        peerAddress,
        controlAddresses,
        agreement,
        access,
        frontEnds,
        tls,
        Optional.empty());
  }

  /** Copies the lists. */
  public ControlSettings {
    controlAddresses = List.copyOf(controlAddresses);
    frontEnds = List.copyOf(frontEnds);
  }
}
