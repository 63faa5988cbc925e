package org.cuminwell.wire;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;

/** Is what one frame between two processes carries. Immutable and thread safe. */
public sealed interface PeerFrame {

  /** Names the sender; the first frame in each direction. */
  record Hello(HostId host) implements PeerFrame {}

  /** Shows that the sender lives. */
  record Heartbeat() implements PeerFrame {}

  /** Carries a message. */
  record Message(PeerMessage message) implements PeerFrame {}
}
