package org.cuminwell.shell.peer;

import java.util.Locale;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.wire.PeerFrame;

/** Names what a frame is about, for counters. Immutable and thread safe. */
enum FrameKind {
  HELLO,
  HEARTBEAT,
  DISTRIBUTION,
  DIRECTORY,
  IDEMPOTENCY,
  ROLLOUTS,
  CONSENSUS,
  LIMITS,
  MEMBERSHIP;

  /** Returns the kind of the frame; messages are told apart by subject. */
  static FrameKind of(PeerFrame frame) {
    return switch (frame) {
      case PeerFrame.Hello h -> HELLO;
      case PeerFrame.Heartbeat h -> HEARTBEAT;
      case PeerFrame.Message m -> of(m.message());
    };
  }

  /** Returns the kind as metrics spell it. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  private static FrameKind of(PeerMessage message) {
    return switch (message) {
      case PeerMessage.Distribution m -> DISTRIBUTION;
      case PeerMessage.Directory m -> DIRECTORY;
      case PeerMessage.Idempotency m -> IDEMPOTENCY;
      case PeerMessage.Rollouts m -> ROLLOUTS;
      case PeerMessage.Consensus m -> CONSENSUS;
      case PeerMessage.Limits m -> LIMITS;
      case PeerMessage.Membership m -> MEMBERSHIP;
    };
  }
}
