package org.cuminwell.core.consensus;

import org.cuminwell.core.consensus.ReplicaAction.Apply;
import org.cuminwell.core.consensus.ReplicaAction.Restore;
import org.cuminwell.core.model.HostId;

/**
 * Keeps count of what is committed, and applies it.
 *
 * <p>Invariants: entries are applied in order, once, and only when committed; neither count goes
 * down. Not thread safe: its replica owns it.
 */
final class CommitProgress<C, S> {

  private final HostId self;
  private final ReplicaStore<C, S> store;
  private final Outbox<C, S> outbox;
  private long commit;
  private long applied;

  CommitProgress(HostId self, ReplicaStore<C, S> store, Outbox<C, S> outbox) {
    this.self = self;
    this.store = store;
    this.outbox = outbox;
    this.commit = store.log().baseIndex();
    this.applied = commit;
  }

  /** Returns the last index that is known to be committed. */
  long commit() {
    return commit;
  }

  /** Returns the last index that was applied. */
  long applied() {
    return applied;
  }

  /** Learns that the log is committed up to the index. */
  void advance(long index) {
    commit = Math.max(commit, index);
  }

  /** Takes a snapshot of another replica, unless this one has got further by itself. */
  void install(Snapshot<S> snapshot) {
    if (snapshot.index() > commit) {
      commit = snapshot.index();
      applied = snapshot.index();
      outbox.add(new Restore<>(snapshot));
      store.install(snapshot);
    }
  }

  /** Lets the state after the last applied entry stand for the entries up to it. */
  void compact(S state) {
    ReplicaLog<C, S> log = store.log();
    if (applied > log.baseIndex()) {
      store.compact(
          new Snapshot<>(applied, log.termAt(applied), log.get(applied).createdAt(), state));
    }
  }

  /**
   * Applies what is committed. It need not be durable here: applying promises nothing, and a quorum
   * without this host may hold it.
   */
  void apply() {
    while (applied < commit) {
      applied++;
      LogEntry<C> entry = store.log().get(applied);
      if (store.hard().votingStatus() instanceof VotingStatus.Learner learner
          && admits(entry, learner)) {
        store.change(store.hard().with(new VotingStatus.Voter()));
      }
      outbox.add(new Apply<>(entry));
    }
  }

  private boolean admits(LogEntry<C> entry, VotingStatus.Learner learner) {
    return entry.content() instanceof EntryContent.Admit<C> admit
        && admit.host().equals(self)
        && admit.incarnation() == learner.incarnation();
  }
}
