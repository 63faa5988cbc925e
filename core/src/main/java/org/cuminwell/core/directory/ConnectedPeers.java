package org.cuminwell.core.directory;

import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;

/**
 * Tracks the roles of the peers that a gateway is connected to.
 *
 * <p>A peer has no role until it has introduced itself, and loses its role with its last
 * connection. Not thread safe: one thread owns it.
 */
public final class ConnectedPeers {

  private enum Role {
    CONTROL,
    NEIGHBOUR,
    REMOTE
  }

  private final Place place;
  private final TreeMap<HostId, Role> roles = new TreeMap<>();

  /** Creates the set of peers of a gateway at {@code place}. */
  public ConnectedPeers(Place place) {
    this.place = place;
  }

  /** Records that the peer is a control host. */
  public void addControlHost(HostId peer) {
    roles.put(peer, Role.CONTROL);
  }

  /** Records that the peer is the gateway of this description. */
  public void addGateway(HostDescription peer) {
    roles.put(peer.id(), peer.place().equals(place) ? Role.NEIGHBOUR : Role.REMOTE);
  }

  /** Records that the peer is disconnected. */
  public void remove(HostId peer) {
    roles.remove(peer);
  }

  /** Returns whether the peer is a connected control host. */
  public boolean isControlHost(HostId peer) {
    return roles.get(peer) == Role.CONTROL;
  }

  /** Returns whether the peer is a connected gateway of the same data centre. */
  public boolean isNeighbour(HostId peer) {
    return roles.get(peer) == Role.NEIGHBOUR;
  }

  /** Returns the connected control hosts, ordered by name. */
  public List<HostId> controlHosts() {
    return peersWithRole(Role.CONTROL);
  }

  /** Returns the connected gateways of the same data centre, ordered by name. */
  public List<HostId> neighbours() {
    return peersWithRole(Role.NEIGHBOUR);
  }

  /** Returns the connected gateways of other data centres, ordered by name. */
  public List<HostId> remoteGateways() {
    return peersWithRole(Role.REMOTE);
  }

  /** Returns the connected neighbours and control hosts. */
  public List<HostId> neighboursAndControlHosts() {
    return Stream.concat(neighbours().stream(), controlHosts().stream()).toList();
  }

  private List<HostId> peersWithRole(Role role) {
    return roles.entrySet().stream()
        .filter(entry -> entry.getValue() == role)
        .map(java.util.Map.Entry::getKey)
        .toList();
  }
}
