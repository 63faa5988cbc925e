package org.cuminwell.core.directory;

import java.util.List;
import java.util.TreeMap;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;

/**
 * Tells apart the processes that a gateway is in contact with.
 *
 * <p>A peer has no role until it has said what it is, and loses it with its last connection. Not
 * thread safe: one thread owns it.
 */
public final class ConnectedPeers {

  private enum Role {
    CONTROL,
    NEIGHBOUR,
    REMOTE
  }

  private final Place place;
  private final TreeMap<HostId, Role> roles = new TreeMap<>();

  /** Makes the connected peers of a gateway at {@code place}. */
  public ConnectedPeers(Place place) {
    this.place = place;
  }

  /** Notes that the peer is a control host. */
  public void addControlHost(HostId peer) {
    roles.put(peer, Role.CONTROL);
  }

  /** Notes that the peer is the gateway that it describes. */
  public void addGateway(HostDescription peer) {
    roles.put(peer.id(), peer.place().equals(place) ? Role.NEIGHBOUR : Role.REMOTE);
  }

  /** Notes that the peer can't be reached. */
  public void remove(HostId peer) {
    roles.remove(peer);
  }

  /** Returns whether the peer is a control host in contact. */
  public boolean isControlHost(HostId peer) {
    return roles.get(peer) == Role.CONTROL;
  }

  /** Returns whether the peer is a gateway of the same data centre in contact. */
  public boolean isNeighbour(HostId peer) {
    return roles.get(peer) == Role.NEIGHBOUR;
  }

  /** Returns the control hosts in contact, in the order of names. */
  public List<HostId> controlHosts() {
    return peersWithRole(Role.CONTROL);
  }

  /** Returns the gateways of the same data centre in contact, in the order of names. */
  public List<HostId> neighbours() {
    return peersWithRole(Role.NEIGHBOUR);
  }

  /** Returns the gateways of other data centres in contact, in the order of names. */
  public List<HostId> remoteGateways() {
    return peersWithRole(Role.REMOTE);
  }

  private List<HostId> peersWithRole(Role role) {
    return roles.entrySet().stream()
        .filter(entry -> entry.getValue() == role)
        .map(java.util.Map.Entry::getKey)
        .toList();
  }
}
