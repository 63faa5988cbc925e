package org.cuminwell.shell.peer;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Hears of other processes. Calls come on network threads and must not wait; implementations only
 * put what they hear into a ring.
 */
public interface PeerListener {

  /** Tells that a connection to the peer has opened; there may have been another before. */
  void connected(HostId peer);

  /** Tells that the last connection to the peer has gone. */
  void lost(HostId peer);

  /** Brings a message of the peer. */
  void heard(HostId peer, PeerMessage message);
}
