package org.cuminwell.shell.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.forward.ForwardSettings;
import org.cuminwell.shell.peer.TlsFiles;

/**
 * Holds the checked settings of a gateway. Immutable and thread safe.
 *
 * @param self how this host describes itself
 * @param floorSlots how many entry hosts this data centre may have; its floors are split over them
 * @param controls the peer addresses of the control hosts
 * @param neighbours the peer addresses of gateways of the same data centre, for a start while no
 *     control host can be reached
 * @param forwarding how requests are forwarded unchanged, if they are; callers then reach this host
 *     for that only
 * @param data the folder on the disk that keeps the last configuration, if there is a disk
 * @param tls proves this host to others; without it peers are believed
 * @param usageWindow the length of the windows by which usage is counted; empty if it is not
 */
public record GatewaySettings(
    HostDescription self,
    int floorSlots,
    List<HostAddress> controls,
    List<HostAddress> neighbours,
    Optional<ForwardSettings> forwarding,
    Optional<Path> data,
    Optional<TlsFiles> tls,
    Optional<Duration> usageWindow) {

  /** Creates the settings of a gateway that counts no usage. */
  public GatewaySettings(
      HostDescription self,
      int floorSlots,
      List<HostAddress> controls,
      List<HostAddress> neighbours,
      Optional<ForwardSettings> forwarding,
      Optional<Path> data,
      Optional<TlsFiles> tls) {
    this(self, floorSlots, controls, neighbours, forwarding, data, tls, Optional.empty());
  }

  /** Copies the lists. */
  public GatewaySettings {
    controls = List.copyOf(controls);
    neighbours = List.copyOf(neighbours);
  }
}
