package org.cuminwell.shell.peer;

import java.util.Locale;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.wire.PeerFrame;

/** Classifies frames by their subject, for the traffic metrics. Immutable and thread safe. */
enum FrameKind {
  HELLO,
  HEARTBEAT,
  DISTRIBUTION,
  DIRECTORY,
  IDEMPOTENCY,
  ROLLOUTS,
  CONSENSUS,
  LIMITS,
  MEMBERSHIP,
  CRASHES,
  USAGE;

  /** Returns the kind of the frame; a message frame is classified by the type of its message. */
  static FrameKind of(PeerFrame frame) {
    return switch (frame) {
      case PeerFrame.Hello h -> HELLO;
      case PeerFrame.Heartbeat h -> HEARTBEAT;
      case PeerFrame.Message m -> of(m.message());
    };
  }

  /** Returns the kind as it appears in metric names, in lower case. */
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
      case PeerMessage.Crashes m -> CRASHES;
      case PeerMessage.Usage m -> USAGE;
    };
  }
}
