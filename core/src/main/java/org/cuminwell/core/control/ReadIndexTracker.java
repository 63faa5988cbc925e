package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostId;

/**
 * Tracks up to which time this host's replicated state is known to include every committed entry,
 * as Raft's read index protocol does.
 *
 * <p>A leader is current as of the send time of its latest message acknowledged by a quorum. A
 * follower asks the leader for its read index and is current as of the time it sent that request.
 * The check uses neither a lease nor another host's clock, so a host that was suspended cannot
 * mistake an old state for the current one. Invariant: {@link #currentAsOf} never decreases. Not
 * thread safe: the thread of its {@link ReplicatedStateMachine} owns it.
 */
final class ReadIndexTracker {

  /** The minimum time between two requests of a follower. */
  static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(100);

  /** How long a request is kept that the leader cannot answer yet. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

  private static final int MAX_REQUESTS = 256;

  private final List<Request> requests = new ArrayList<>();
  private final List<Reply> replies = new ArrayList<>();
  private Instant currentAsOf = Instant.MIN;
  private Instant lastRequestAt = Instant.MIN;

  private record Request(HostId from, Instant askedAt, Instant receivedAt) {}

  private record Reply(Instant askedAt, long index) {}

  /** Returns a time such that everything committed before it is in the state. */
  Instant currentAsOf() {
    return currentAsOf;
  }

  /** Returns whether a request to the leader is due, and if so records that it is sent now. */
  boolean startRequestIfDue(Instant now) {
    boolean due =
        lastRequestAt.equals(Instant.MIN)
            || !now.isBefore(lastRequestAt.plus(MIN_REQUEST_INTERVAL));
    if (due) {
      lastRequestAt = now;
    }
    return due;
  }

  /** Queues a follower's request. Requests beyond {@link #MAX_REQUESTS} are dropped. */
  void onRequest(HostId from, Instant senderTime, Instant now) {
    if (requests.size() < MAX_REQUESTS) {
      requests.add(new Request(from, senderTime, now));
    }
  }

  /** Records the leader's reply to a request that was sent at {@code sentAt}. */
  void onReply(Instant sentAt, long index) {
    replies.add(new Reply(sentAt, index));
  }

  /**
   * Advances {@link #currentAsOf} as far as the given indexes allow.
   *
   * @param confirmedAt the send time of the leader's latest message acknowledged by a quorum; empty
   *     if this host does not lead
   */
  void advance(Optional<Instant> confirmedAt, long appliedIndex, long commitIndex) {
    if (confirmedAt.isPresent() && appliedIndex >= commitIndex) {
      advanceTo(confirmedAt.get());
    }
    Iterator<Reply> all = replies.iterator();
    while (all.hasNext()) {
      Reply answer = all.next();
      if (appliedIndex >= answer.index()) {
        all.remove();
        advanceTo(answer.askedAt());
      }
    }
  }

  /**
   * Returns replies to the queued requests that can be answered now, and drops expired requests.
   */
  List<StateMachineAction.Send> drainReplies(
      Optional<Instant> confirmedAt, long commitIndex, Instant now) {
    List<StateMachineAction.Send> replies = new ArrayList<>();
    requests.removeIf(
        request -> {
          boolean isConfirmed =
              confirmedAt.filter(at -> !at.isBefore(request.receivedAt())).isPresent();
          if (isConfirmed) {
            replies.add(
                new StateMachineAction.Send(
                    request.from(),
                    new StateMachineMessage.ReadIndexReply(request.askedAt(), commitIndex)));
          }
          return isConfirmed || now.isAfter(request.receivedAt().plus(REQUEST_TIMEOUT));
        });
    return replies;
  }

  private void advanceTo(Instant moment) {
    if (moment.isAfter(currentAsOf)) {
      currentAsOf = moment;
    }
  }
}
