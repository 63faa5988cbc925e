package org.cuminwell.shell.peer;

import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.wire.PeerFrame;
import org.cuminwell.wire.PeerFrameCodec;

/**
 * Is a frame with its bytes, which whoever sends it encodes on its own thread.
 *
 * <p>Invariant: the bytes are not written to. Thread safe.
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
record EncodedFrame(PeerFrame frame, byte[] bytes) {

  static EncodedFrame of(PeerFrame frame) {
    return new EncodedFrame(frame, PeerFrameCodec.encode(frame));
  }

  static EncodedFrame of(PeerMessage message) {
    return of(new PeerFrame.Message(message));
  }
}
