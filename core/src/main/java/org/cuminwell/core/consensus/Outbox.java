package org.cuminwell.core.consensus;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.cuminwell.core.consensus.ReplicaAction.Send;
import org.cuminwell.core.consensus.ReplicaAction.Write;
import org.cuminwell.core.model.HostId;

/**
 * Collects a replica's actions, and holds back messages until the writes that they depend on are
 * durable.
 *
 * <p>Invariant: a held message is released only after every earlier write is durable. Not thread
 * safe: one thread owns it.
 */
final class Outbox<C, S> {

  private record HeldMessage<C, S>(long sequence, Send<C, S> send) {}

  private final ArrayDeque<HeldMessage<C, S>> heldMessages = new ArrayDeque<>();
  private List<ReplicaAction<C, S>> actions = new ArrayList<>();
  private long lastSequence;
  private long persistedSequence;
  private final DiskStallDetector stallDetector = new DiskStallDetector();

  /** Returns the sequence number of the next write. */
  long nextSequence() {
    return ++lastSequence;
  }

  void write(Write<C, S> write) {
    actions.add(write);
  }

  void add(ReplicaAction<C, S> action) {
    actions.add(action);
  }

  /** Sends at once. Only for messages that promise nothing about durable state. */
  void send(HostId to, ConsensusMessage<C, S> message) {
    actions.add(new Send<>(to, message));
  }

  /** Sends once all writes so far are durable. */
  void sendWhenDurable(HostId to, ConsensusMessage<C, S> message) {
    if (persistedSequence >= lastSequence) {
      send(to, message);
    } else {
      heldMessages.add(new HeldMessage<>(lastSequence, new Send<>(to, message)));
    }
  }

  /** Returns whether all writes so far are durable. */
  boolean isDurable() {
    return persistedSequence >= lastSequence;
  }

  /** Returns whether a write has waited too long for the disk. */
  boolean isStalled(Instant now) {
    return stallDetector.isStalled(lastSequence, persistedSequence, now);
  }

  /**
   * Records that writes up to the sequence number are durable, and releases the messages that
   * waited for them.
   */
  void onPersisted(long sequence) {
    persistedSequence = Math.max(persistedSequence, sequence);
    while (!heldMessages.isEmpty() && heldMessages.getFirst().sequence() <= persistedSequence) {
      actions.add(heldMessages.removeFirst().send());
    }
  }

  /** Returns the collected actions in order and clears them. */
  List<ReplicaAction<C, S>> drain() {
    List<ReplicaAction<C, S>> result = actions;
    actions = new ArrayList<>();
    return result;
  }
}
