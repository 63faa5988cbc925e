package org.cuminwell.wire;

import java.time.Instant;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.consensus.VotingStatus;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.HostId;

/**
 * Maps the durable parts of the agreement to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class LogCodec {

  private LogCodec() {}

  static org.cuminwell.wire.generated.LogEntry toProto(LogEntry<Command> from) {
    var to =
        org.cuminwell.wire.generated.LogEntry.newBuilder()
            .setIndex(from.index())
            .setTerm(from.term())
            .setAtMillis(from.createdAt().toEpochMilli());
    switch (from.content()) {
      case EntryContent.NoOp<Command> c ->
          to.setNoOp(org.cuminwell.wire.generated.LogEntry.NoOp.getDefaultInstance());
      case EntryContent.Proposed<Command> c -> to.setProposed(StateCodec.toProto(c.command()));
      case EntryContent.Admit<Command> c ->
          to.setAdmit(
              org.cuminwell.wire.generated.LogEntry.Admit.newBuilder()
                  .setHost(c.host().value())
                  .setIncarnation(c.incarnation()));
    }
    return to.build();
  }

  static LogEntry<Command> fromProto(org.cuminwell.wire.generated.LogEntry from) {
    return new LogEntry<>(
        from.getIndex(), from.getTerm(), Instant.ofEpochMilli(from.getAtMillis()), content(from));
  }

  static org.cuminwell.wire.generated.Snapshot toProto(Snapshot<StateSnapshot> from) {
    return org.cuminwell.wire.generated.Snapshot.newBuilder()
        .setIndex(from.index())
        .setTerm(from.term())
        .setAtMillis(from.lastEntryCreatedAt().toEpochMilli())
        .setState(StateCodec.toProto(from.state()))
        .build();
  }

  static Snapshot<StateSnapshot> fromProto(org.cuminwell.wire.generated.Snapshot from) {
    return new Snapshot<>(
        from.getIndex(),
        from.getTerm(),
        Instant.ofEpochMilli(from.getAtMillis()),
        StateCodec.fromProto(from.getState()));
  }

  static org.cuminwell.wire.generated.HardState toProto(HardState from) {
    var to =
        org.cuminwell.wire.generated.HardState.newBuilder()
            .setTerm(from.term())
            .setVotedFor(from.votedFor().map(HostId::value).orElse(""));
    switch (from.votingStatus()) {
      case VotingStatus.Founding s ->
          to.getFoundingBuilder()
              .addAllVotedFor(s.votedFor().stream().sorted().map(HostId::value).toList());
      case VotingStatus.Voter s ->
          to.setVoter(org.cuminwell.wire.generated.HardState.Voter.getDefaultInstance());
      case VotingStatus.Learner s -> to.getLearnerBuilder().setIncarnation(s.incarnation());
    }
    return to.build();
  }

  static HardState fromProto(org.cuminwell.wire.generated.HardState from) {
    return new HardState(
        from.getTerm(),
        Optional.of(from.getVotedFor()).filter(id -> !id.isEmpty()).map(HostId::new),
        standing(from));
  }

  private static EntryContent<Command> content(org.cuminwell.wire.generated.LogEntry from) {
    return switch (from.getContentCase()) {
      case NO_OP -> new EntryContent.NoOp<>();
      case PROPOSED -> new EntryContent.Proposed<>(StateCodec.fromProto(from.getProposed()));
      case ADMIT ->
          new EntryContent.Admit<>(
              new HostId(from.getAdmit().getHost()), from.getAdmit().getIncarnation());
      case CONTENT_NOT_SET -> throw new IllegalArgumentException("log entry without content");
    };
  }

  private static VotingStatus standing(org.cuminwell.wire.generated.HardState from) {
    return switch (from.getStandingCase()) {
      case FOUNDING ->
          new VotingStatus.Founding(
              from.getFounding().getVotedForList().stream()
                  .map(HostId::new)
                  .collect(Collectors.toUnmodifiableSet()));
      case VOTER -> new VotingStatus.Voter();
      case LEARNER -> new VotingStatus.Learner(from.getLearner().getIncarnation());
      case STANDING_NOT_SET -> throw new IllegalArgumentException("hard state without a standing");
    };
  }
}
