package org.cuminwell.core.consensus;

import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/**
 * Tells what this host is by the newest membership of its own log.
 *
 * <p>Reads the store and changes nothing. Not thread safe: its {@link Replica} owns it.
 */
final class LocalMember<C, S> {

  private final HostId self;
  private final HostAddress address;
  private final ReplicaStore<C, S> store;

  LocalMember(HostId self, HostAddress address, ReplicaStore<C, S> store) {
    this.self = self;
    this.address = address;
    this.store = store;
  }

  HostId host() {
    return self;
  }

  /** Returns this host with its present disk. */
  Member member() {
    return new Member(self, address, store.hardState().incarnation());
  }

  boolean is(Member member) {
    return member.is(self, store.hardState().incarnation());
  }

  boolean isVoter() {
    return store.log().membership().contains(self, store.hardState().incarnation());
  }

  boolean mayBeElected() {
    return store
        .hardState()
        .founding()
        .map(f -> f.voters().contains(self))
        .orElseGet(this::isVoter);
  }

  /** Returns the other hosts whose votes this one needs. */
  SortedSet<HostId> otherElectors() {
    SortedSet<HostId> hosts =
        store
            .hardState()
            .founding()
            .map(f -> (SortedSet<HostId>) new TreeSet<>(f.voters()))
            .orElseGet(this::memberHosts);
    hosts.remove(self);
    return hosts;
  }

  /** Returns the hosts of all members, this one perhaps among them. */
  SortedSet<HostId> memberHosts() {
    return store.log().membership().members().stream()
        .map(Member::host)
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
