package org.cuminwell.core.consensus;

import org.cuminwell.core.consensus.ReplicaAction.Apply;
import org.cuminwell.core.consensus.ReplicaAction.Restore;

/**
 * Tracks the commit index and applies committed entries.
 *
 * <p>Invariants: entries are applied in order, once, and only after they are committed; neither
 * index decreases. Not thread safe: its replica owns it.
 */
final class CommitProgress<C, S> {

  private final ReplicaStore<C, S> store;
  private final Outbox<C, S> outbox;
  private long commitIndex;
  private long appliedIndex;

  CommitProgress(ReplicaStore<C, S> store, Outbox<C, S> outbox) {
    this.store = store;
    this.outbox = outbox;
    this.commitIndex = store.log().baseIndex();
    this.appliedIndex = commitIndex;
  }

  /** Returns the index of the last entry known to be committed. */
  long commitIndex() {
    return commitIndex;
  }

  /** Returns the index of the last applied entry. */
  long appliedIndex() {
    return appliedIndex;
  }

  /** Records that the log is committed up to the index. */
  void advanceCommitIndex(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  /** Installs a snapshot of the leader unless this replica has already committed further. */
  void install(Snapshot<S> snapshot) {
    if (snapshot.index() > commitIndex) {
      commitIndex = snapshot.index();
      appliedIndex = snapshot.index();
      outbox.add(new Restore<>(snapshot));
      store.install(snapshot);
    }
  }

  /** Replaces the applied entries with a snapshot of the state after them. */
  void compact(S state) {
    ReplicaLog<C, S> log = store.log();
    if (appliedIndex > log.baseIndex()) {
      store.compact(
          new Snapshot<>(
              appliedIndex,
              log.termAt(appliedIndex),
              log.get(appliedIndex).createdAt(),
              log.membershipAt(appliedIndex),
              state));
    }
  }

  /**
   * Applies the committed entries. They need not be durable on this host: applying an entry
   * promises nothing to other hosts, and a quorum without this host may hold it.
   */
  void applyCommitted() {
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      outbox.add(new Apply<>(store.log().get(appliedIndex)));
    }
  }
}
