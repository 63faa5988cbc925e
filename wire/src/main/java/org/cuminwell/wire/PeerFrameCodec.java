package org.cuminwell.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.wire.generated.Envelope;

/** Maps frames between processes to bytes and back. Stateless and thread safe. */
public final class PeerFrameCodec {

  private PeerFrameCodec() {}

  /** Returns the bytes of a frame, without a length. */
  public static byte[] encode(PeerFrame frame) {
    Envelope.Builder to = Envelope.newBuilder();
    switch (frame) {
      case PeerFrame.Hello hello ->
          to.setHello(Envelope.Hello.newBuilder().setHost(hello.host().value()));
      case PeerFrame.Heartbeat h -> to.setHeartbeat(Envelope.Heartbeat.getDefaultInstance());
      case PeerFrame.Message m -> write(m.message(), to);
    }
    return to.build().toByteArray();
  }

  /**
   * Returns the frame in {@code bytes}.
   *
   * @throws WireFormatException if the bytes are not a valid frame
   */
  public static PeerFrame decode(byte[] bytes) throws WireFormatException {
    try {
      return decode(Envelope.parseFrom(bytes));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new WireFormatException("not a valid frame: " + e.getMessage(), e);
    }
  }

  private static void write(PeerMessage message, Envelope.Builder to) {
    switch (message) {
      case PeerMessage.Distribution m -> to.setDistribution(DistributionCodec.toProto(m.message()));
      case PeerMessage.Directory m -> to.setDirectory(DirectoryCodec.toProto(m.message()));
      case PeerMessage.Rollouts m -> to.setRollout(RolloutCodec.toProto(m.message()));
      case PeerMessage.Idempotency m -> to.setIdempotency(IdempotencyCodec.toProto(m.message()));
      case PeerMessage.Consensus m -> to.setConsensus(ConsensusCodec.toProto(m.message()));
      case PeerMessage.Limits m -> to.setLimit(LimitCodec.toProto(m.message()));
      case PeerMessage.Membership m -> to.setMembership(MembershipCodec.toProto(m.message()));
      case PeerMessage.Crashes m -> to.setCrashes(CrashCodec.toProto(m.update()));
      // Beside a heartbeat, since earlier builds close a connection that sends a kind which they
      // don't know.
      case PeerMessage.Usage m ->
          to.setHeartbeat(Envelope.Heartbeat.getDefaultInstance())
              .setUnknownFields(
                  DutyCodec.field(DutyCodec.ENVELOPE_FIELD, DutyCodec.toFields(m.message())));
    }
  }

  private static PeerFrame decode(Envelope from) throws WireFormatException {
    return switch (from.getKindCase()) {
      case HELLO -> new PeerFrame.Hello(new HostId(from.getHello().getHost()));
      case HEARTBEAT ->
          DutyCodec.findMessage(from.getUnknownFields(), DutyCodec.ENVELOPE_FIELD)
              .map(m -> message(new PeerMessage.Usage(DutyCodec.messageOf(m))))
              .orElseGet(PeerFrame.Heartbeat::new);
      case DISTRIBUTION ->
          message(
              new PeerMessage.Distribution(DistributionCodec.fromProto(from.getDistribution())));
      case DIRECTORY ->
          message(new PeerMessage.Directory(DirectoryCodec.fromProto(from.getDirectory())));
      case ROLLOUT -> message(new PeerMessage.Rollouts(RolloutCodec.fromProto(from.getRollout())));
      case IDEMPOTENCY ->
          message(new PeerMessage.Idempotency(IdempotencyCodec.fromProto(from.getIdempotency())));
      case CONSENSUS ->
          message(new PeerMessage.Consensus(ConsensusCodec.fromProto(from.getConsensus())));
      case LIMIT -> message(new PeerMessage.Limits(LimitCodec.fromProto(from.getLimit())));
      case MEMBERSHIP ->
          message(new PeerMessage.Membership(MembershipCodec.fromProto(from.getMembership())));
      case CRASHES -> message(new PeerMessage.Crashes(CrashCodec.fromProto(from.getCrashes())));
      case KIND_NOT_SET -> throw new WireFormatException("frame without a kind");
    };
  }

  private static PeerFrame message(PeerMessage message) {
    return new PeerFrame.Message(message);
  }
}
