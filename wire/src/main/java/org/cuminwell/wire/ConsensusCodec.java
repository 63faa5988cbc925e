package org.cuminwell.wire;

import org.cuminwell.core.consensus.ConsensusMessage;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateMachineMessage;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.wire.generated.AppendReply;
import org.cuminwell.wire.generated.AppendRequest;
import org.cuminwell.wire.generated.InstallSnapshot;
import org.cuminwell.wire.generated.JoinRequest;
import org.cuminwell.wire.generated.VoteReply;
import org.cuminwell.wire.generated.VoteRequest;

/**
 * Maps messages between control hosts to protobuf and back. Times of a leader lose what is below a
 * microsecond, which makes its lease shorter, never longer. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class ConsensusCodec {

  private ConsensusCodec() {}

  static org.cuminwell.wire.generated.AgreementMessage toProto(StateMachineMessage from) {
    var to = org.cuminwell.wire.generated.AgreementMessage.newBuilder();
    switch (from) {
      case StateMachineMessage.Replication m -> write(m.message(), to);
      case StateMachineMessage.Forward m ->
          to.getForwardBuilder().setId(m.id().value()).setCommand(StateCodec.toProto(m.command()));
      case StateMachineMessage.ProposalAppended m ->
          to.getPlacedBuilder().setId(m.id().value()).setIndex(m.index()).setTerm(m.term());
      case StateMachineMessage.ProposalRejected m -> to.getNotPlacedBuilder().setId(m.id().value());
      case StateMachineMessage.ReadIndexRequest m ->
          to.getAskCommittedBuilder().setAskedAtMicros(WireTime.micros(m.askedAt()));
      case StateMachineMessage.ReadIndexReply m ->
          to.getCommittedBuilder()
              .setAskedAtMicros(WireTime.micros(m.askedAt()))
              .setIndex(m.index());
    }
    return to.build();
  }

  static StateMachineMessage fromProto(org.cuminwell.wire.generated.AgreementMessage from) {
    return switch (from.getKindCase()) {
      case VOTE_REQUEST -> replication(read(from.getVoteRequest()));
      case VOTE_REPLY -> replication(read(from.getVoteReply()));
      case APPEND_REQUEST -> replication(read(from.getAppendRequest()));
      case APPEND_REPLY -> replication(read(from.getAppendReply()));
      case INSTALL_SNAPSHOT -> replication(read(from.getInstallSnapshot()));
      case JOIN_REQUEST -> replication(read(from.getJoinRequest()));
      case FORWARD ->
          new StateMachineMessage.Forward(
              new RequestId(from.getForward().getId()),
              StateCodec.fromProto(from.getForward().getCommand()));
      case PLACED ->
          new StateMachineMessage.ProposalAppended(
              new RequestId(from.getPlaced().getId()),
              from.getPlaced().getIndex(),
              from.getPlaced().getTerm());
      case NOT_PLACED ->
          new StateMachineMessage.ProposalRejected(new RequestId(from.getNotPlaced().getId()));
      case ASK_COMMITTED ->
          new StateMachineMessage.ReadIndexRequest(
              WireTime.instant(from.getAskCommitted().getAskedAtMicros()));
      case COMMITTED ->
          new StateMachineMessage.ReadIndexReply(
              WireTime.instant(from.getCommitted().getAskedAtMicros()),
              from.getCommitted().getIndex());
      case KIND_NOT_SET -> throw new IllegalArgumentException("agreement message without a kind");
    };
  }

  private static StateMachineMessage replication(ConsensusMessage<Command, StateSnapshot> message) {
    return new StateMachineMessage.Replication(message);
  }

  private static void write(
      ConsensusMessage<Command, StateSnapshot> from,
      org.cuminwell.wire.generated.AgreementMessage.Builder to) {
    switch (from) {
      case ConsensusMessage.VoteRequest<Command, StateSnapshot> m ->
          to.getVoteRequestBuilder()
              .setTerm(m.term())
              .setPreVote(m.preVote())
              .setFounding(m.founding())
              .setLastIndex(m.lastLogIndex())
              .setLastTerm(m.lastLogTerm());
      case ConsensusMessage.VoteReply<Command, StateSnapshot> m ->
          to.getVoteReplyBuilder()
              .setTerm(m.term())
              .setPreVote(m.preVote())
              .setGranted(m.granted())
              .setVoter(LogCodec.toProto(m.voter()));
      case ConsensusMessage.AppendRequest<Command, StateSnapshot> m ->
          to.setAppendRequest(write(m));
      case ConsensusMessage.AppendReply<Command, StateSnapshot> m -> to.setAppendReply(write(m));
      case ConsensusMessage.InstallSnapshot<Command, StateSnapshot> m ->
          to.getInstallSnapshotBuilder()
              .setTerm(m.term())
              .setSnapshot(LogCodec.toProto(m.snapshot()))
              .setSentAtMicros(WireTime.micros(m.sentAt()));
      case ConsensusMessage.JoinRequest<Command, StateSnapshot> m ->
          to.getJoinRequestBuilder().setTerm(m.term()).setMember(LogCodec.toProto(m.member()));
    }
  }

  private static AppendRequest.Builder write(
      ConsensusMessage.AppendRequest<Command, StateSnapshot> from) {
    var to =
        AppendRequest.newBuilder()
            .setTerm(from.term())
            .setPreviousIndex(from.previousIndex())
            .setPreviousTerm(from.previousTerm())
            .setCommit(from.commitIndex())
            .setAcknowledged(from.acknowledgedIndex())
            .setSentAtMicros(WireTime.micros(from.sentAt()));
    from.entries().forEach(entry -> to.addEntry(LogCodec.toProto(entry)));
    return to;
  }

  private static AppendReply.Builder write(
      ConsensusMessage.AppendReply<Command, StateSnapshot> from) {
    return AppendReply.newBuilder()
        .setTerm(from.term())
        .setMatched(from.matched())
        .setIndex(from.index())
        .setIncarnation(from.incarnation())
        .setSentAtMicros(WireTime.micros(from.sentAt()));
  }

  private static ConsensusMessage<Command, StateSnapshot> read(VoteRequest from) {
    return new ConsensusMessage.VoteRequest<>(
        from.getTerm(),
        from.getPreVote(),
        from.getFounding(),
        from.getLastIndex(),
        from.getLastTerm());
  }

  private static ConsensusMessage<Command, StateSnapshot> read(VoteReply from) {
    return new ConsensusMessage.VoteReply<>(
        from.getTerm(), from.getPreVote(), from.getGranted(), LogCodec.fromProto(from.getVoter()));
  }

  private static ConsensusMessage<Command, StateSnapshot> read(AppendRequest from) {
    return new ConsensusMessage.AppendRequest<>(
        from.getTerm(),
        from.getPreviousIndex(),
        from.getPreviousTerm(),
        from.getEntryList().stream().map(LogCodec::fromProto).toList(),
        from.getCommit(),
        from.getAcknowledged(),
        WireTime.instant(from.getSentAtMicros()));
  }

  private static ConsensusMessage<Command, StateSnapshot> read(AppendReply from) {
    return new ConsensusMessage.AppendReply<>(
        from.getTerm(),
        from.getMatched(),
        from.getIndex(),
        from.getIncarnation(),
        WireTime.instant(from.getSentAtMicros()));
  }

  private static ConsensusMessage<Command, StateSnapshot> read(InstallSnapshot from) {
    return new ConsensusMessage.InstallSnapshot<>(
        from.getTerm(),
        LogCodec.fromProto(from.getSnapshot()),
        WireTime.instant(from.getSentAtMicros()));
  }

  private static ConsensusMessage<Command, StateSnapshot> read(JoinRequest from) {
    return new ConsensusMessage.JoinRequest<>(from.getTerm(), LogCodec.fromProto(from.getMember()));
  }
}
