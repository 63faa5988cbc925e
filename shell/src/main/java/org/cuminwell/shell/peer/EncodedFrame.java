package org.cuminwell.shell.peer;

import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.wire.PeerFrame;
import org.cuminwell.wire.PeerFrameCodec;

/**
 * Holds a frame and its encoding.
 *
 * <p>Senders create it on their own thread, which keeps the encoding of large messages off the
 * network thread. Invariant: the bytes are never modified. Thread safe.
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
record EncodedFrame(PeerFrame frame, byte[] bytes) {

  /** Encodes the frame. */
  static EncodedFrame of(PeerFrame frame) {
    return new EncodedFrame(frame, PeerFrameCodec.encode(frame));
  }

  /** Encodes the message as a message frame. */
  static EncodedFrame of(PeerMessage message) {
    return of(new PeerFrame.Message(message));
  }
}
