package org.cuminwell.shell.peer;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Receives the connection changes and messages of other processes.
 *
 * <p>Methods are called on the network thread and must not block; implementations only put the
 * event into a ring.
 */
public interface PeerListener {

  /** Reports a new connection to the peer; older connections to it may still be open. */
  void onConnected(HostId peer);

  /** Reports that the last open connection to the peer was closed. */
  void onDisconnected(HostId peer);

  /** Delivers a message from the peer. */
  void onMessage(HostId peer, PeerMessage message);
}
