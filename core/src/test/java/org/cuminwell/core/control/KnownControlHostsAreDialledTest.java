package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a restarted host that finds nobody, because its settings name other control hosts
 * than those that vote.
 */
final class KnownControlHostsAreDialledTest {

  private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");
  private static final HostId SELF = new HostId("a");

  @ParameterizedTest(name = "settings {0}, members {1}, told of {2}: dials {3}")
  @CsvSource({
    "a b c, a b c, a,   a b c",
    "a b d, a b c, a,   a b c d",
    "d e f, a b c, a,   a b c d e f",
    "a b,   a b c, a d, a b c d",
  })
  void hostsOfSettingsLogAndPeersAreDialled(
      String settings, String members, String told, String dialled) {
    Control control = new Control(SELF, addresses(settings), stateMachine(members), START);
    Set<HostAddress> all = dialledIn(control.handle(new ControlEvent.Ticked(), START));
    var hello = new PeerMessage.Directory(new DirectoryMessage.ControlHello(addresses(told)));
    all.addAll(
        dialledIn(
            control.handle(new ControlEvent.PeerMessageReceived(new HostId("b"), hello), START)));
    assertThat(all).isEqualTo(addresses(dialled));
  }

  private static Set<HostAddress> dialledIn(List<ControlAction> actions) {
    return actions.stream()
        .filter(ControlAction.DialControlHosts.class::isInstance)
        .flatMap(action -> ((ControlAction.DialControlHosts) action).addresses().stream())
        .collect(Collectors.toSet());
  }

  private static ReplicatedStateMachine stateMachine(String members) {
    Membership membership =
        Membership.of(
            addresses(members).stream()
                .map(address -> new Member(new HostId(address.host()), address, 7))
                .collect(Collectors.toSet()));
    LogEntry<Command> first =
        new LogEntry<>(1, 1, START, new EntryContent.ChangeMembership<>(membership));
    return new ReplicatedStateMachine(
        SELF,
        new HostAddress(SELF.value(), 7600),
        new DurableState<>(
            new HardState(1, Optional.empty(), 7, Optional.empty()),
            Optional.empty(),
            List.of(first)),
        new SplittableRandom(1),
        new LogLimits(1_024, 1_000_000),
        command -> command,
        START);
  }

  private static Set<HostAddress> addresses(String hosts) {
    return Arrays.stream(hosts.split(" ", -1))
        .map(host -> new HostAddress(host, 7600))
        .collect(Collectors.toSet());
  }
}
