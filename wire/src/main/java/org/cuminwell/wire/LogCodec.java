package org.cuminwell.wire;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.Founding;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.HostAddress;
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
      case EntryContent.ChangeMembership<Command> c ->
          to.setChangeMembership(toProto(c.membership()));
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
        .setMembership(toProto(from.membership()))
        .setState(StateCodec.toProto(from.state()))
        .build();
  }

  static Snapshot<StateSnapshot> fromProto(org.cuminwell.wire.generated.Snapshot from) {
    return new Snapshot<>(
        from.getIndex(),
        from.getTerm(),
        Instant.ofEpochMilli(from.getAtMillis()),
        fromProto(from.getMembership()),
        StateCodec.fromProto(from.getState()));
  }

  static org.cuminwell.wire.generated.Member toProto(Member from) {
    return org.cuminwell.wire.generated.Member.newBuilder()
        .setHost(from.host().value())
        .setAddress(from.address().toString())
        .setIncarnation(from.incarnation())
        .build();
  }

  static Member fromProto(org.cuminwell.wire.generated.Member from) {
    return new Member(
        new HostId(from.getHost()), HostAddress.parse(from.getAddress()), from.getIncarnation());
  }

  static org.cuminwell.wire.generated.HardState toProto(HardState from) {
    var to =
        org.cuminwell.wire.generated.HardState.newBuilder()
            .setTerm(from.term())
            .setVotedFor(from.votedFor().map(HostId::value).orElse(""))
            .setIncarnation(from.incarnation());
    from.founding()
        .ifPresent(
            founding ->
                to.getFoundingBuilder()
                    .addAllVoter(names(founding.voters()))
                    .addAllAddress(
                        founding.addresses().stream()
                            .sorted()
                            .map(HostAddress::toString)
                            .toList()));
    return to.build();
  }

  static HardState fromProto(org.cuminwell.wire.generated.HardState from) {
    return new HardState(
        from.getTerm(),
        Optional.of(from.getVotedFor()).filter(id -> !id.isEmpty()).map(HostId::new),
        from.getIncarnation(),
        from.hasFounding()
            ? Optional.of(
                new Founding(
                    hosts(from.getFounding().getVoterList()),
                    from.getFounding().getAddressList().stream()
                        .map(HostAddress::parse)
                        .collect(Collectors.toUnmodifiableSet())))
            : Optional.empty());
  }

  private static org.cuminwell.wire.generated.Membership toProto(Membership from) {
    return org.cuminwell.wire.generated.Membership.newBuilder()
        .addAllVoter(from.voters().stream().map(LogCodec::toProto).toList())
        .addAllNextVoter(from.nextVoters().stream().map(LogCodec::toProto).toList())
        .build();
  }

  private static Membership fromProto(org.cuminwell.wire.generated.Membership from) {
    return new Membership(members(from.getVoterList()), members(from.getNextVoterList()));
  }

  private static SortedSet<Member> members(List<org.cuminwell.wire.generated.Member> from) {
    return from.stream().map(LogCodec::fromProto).collect(Collectors.toCollection(TreeSet::new));
  }

  private static List<String> names(Set<HostId> hosts) {
    return hosts.stream().sorted().map(HostId::value).toList();
  }

  private static Set<HostId> hosts(List<String> names) {
    return names.stream().map(HostId::new).collect(Collectors.toUnmodifiableSet());
  }

  private static EntryContent<Command> content(org.cuminwell.wire.generated.LogEntry from) {
    return switch (from.getContentCase()) {
      case NO_OP -> new EntryContent.NoOp<>();
      case PROPOSED -> new EntryContent.Proposed<>(StateCodec.fromProto(from.getProposed()));
      case CHANGE_MEMBERSHIP ->
          new EntryContent.ChangeMembership<>(fromProto(from.getChangeMembership()));
      case CONTENT_NOT_SET -> throw new IllegalArgumentException("log entry without content");
    };
  }
}
