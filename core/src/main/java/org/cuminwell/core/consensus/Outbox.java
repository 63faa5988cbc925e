package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.cuminwell.core.consensus.ReplicaAction.Send;
import org.cuminwell.core.consensus.ReplicaAction.Write;
import org.cuminwell.core.model.HostId;

/**
 * Collects actions and holds messages back until the writes that they speak of are durable.
 *
 * <p>Invariant: a held message is released only when every write made before it is durable. Not
 * thread safe: one thread owns it.
 */
final class Outbox<C, S> {

  private record Held<C, S>(long sequence, Send<C, S> send) {}

  private final ArrayDeque<Held<C, S>> held = new ArrayDeque<>();
  private List<ReplicaAction<C, S>> actions = new ArrayList<>();
  private long lastSequence;
  private long persisted;
  private final SyncWatch syncs = new SyncWatch();

  /** Returns the sequence number for the next write. */
  long nextSequence() {
    return ++lastSequence;
  }

  void write(Write<C, S> write) {
    actions.add(write);
  }

  void add(ReplicaAction<C, S> action) {
    actions.add(action);
  }

  /** Sends at once; only for messages that promise nothing about the disk. */
  void send(HostId to, ConsensusMessage<C, S> message) {
    actions.add(new Send<>(to, message));
  }

  /** Sends as soon as all writes so far are durable. */
  void sendWhenDurable(HostId to, ConsensusMessage<C, S> message) {
    if (persisted >= lastSequence) {
      send(to, message);
    } else {
      held.add(new Held<>(lastSequence, new Send<>(to, message)));
    }
  }

  /** Returns whether all writes so far are durable. */
  boolean isDurable() {
    return persisted >= lastSequence;
  }

  /** Returns whether the disk has taken nothing for too long. */
  boolean isStalled(Instant now) {
    return syncs.isStalled(lastSequence, persisted, now);
  }

  /** Releases what waited for the write. */
  void persisted(long sequence) {
    persisted = Math.max(persisted, sequence);
    while (!held.isEmpty() && held.getFirst().sequence() <= persisted) {
      actions.add(held.removeFirst().send());
    }
  }

  /** Returns the collected actions in order and starts anew. */
  List<ReplicaAction<C, S>> drain() {
    List<ReplicaAction<C, S>> result = actions;
    actions = new ArrayList<>();
    return result;
  }
}
