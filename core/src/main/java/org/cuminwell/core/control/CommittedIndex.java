package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostId;

/**
 * Establishes up to which moment this host's replicated state holds all that was committed.
 *
 * <p>A leader knows it for the time of its latest message that a quorum has acknowledged; a
 * follower asks the leader, and counts from the sending of its question. No lease and no other
 * host's clock takes part, so a host that was suspended can't take an old state for the present
 * one. Invariant: {@link #currentAt} never goes back. Not thread safe: the thread of its {@link
 * ReplicatedStateMachine} owns it.
 */
final class CommittedIndex {

  /** How often a follower asks at most. */
  static final Duration ASK_PERIOD = Duration.ofMillis(100);

  /** How long a question that the leader can't answer is kept. */
  private static final Duration KEPT = Duration.ofSeconds(2);

  private static final int MAX_QUESTIONS = 256;

  private final List<Question> questions = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();
  private Instant currentAt = Instant.MIN;
  private Instant askedAt = Instant.MIN;

  private record Question(HostId from, Instant askedAt, Instant arrivedAt) {}

  private record Answer(Instant askedAt, long index) {}

  /** Returns the moment before which everything committed is in the state. */
  Instant currentAt() {
    return currentAt;
  }

  /** Returns whether to ask the leader now, and notes that it is asked. */
  boolean asks(Instant now) {
    boolean due = askedAt.equals(Instant.MIN) || !now.isBefore(askedAt.plus(ASK_PERIOD));
    if (due) {
      askedAt = now;
    }
    return due;
  }

  /** Takes in a follower's question. */
  void asked(HostId from, Instant theirTime, Instant now) {
    if (questions.size() < MAX_QUESTIONS) {
      questions.add(new Question(from, theirTime, now));
    }
  }

  /** Takes in the leader's answer to a question that was sent at {@code sentAt}. */
  void answered(Instant sentAt, long index) {
    answers.add(new Answer(sentAt, index));
  }

  /**
   * Moves the moment on, as far as is known now.
   *
   * @param confirmedAt the time of the leader's latest message that a quorum has acknowledged;
   *     empty if this host does not lead
   */
  void advance(Optional<Instant> confirmedAt, long applied, long committed) {
    if (confirmedAt.isPresent() && applied >= committed) {
      moveTo(confirmedAt.get());
    }
    Iterator<Answer> all = answers.iterator();
    while (all.hasNext()) {
      Answer answer = all.next();
      if (applied >= answer.index()) {
        all.remove();
        moveTo(answer.askedAt());
      }
    }
  }

  /** Returns what to tell followers whose questions can be answered now. */
  List<StateMachineAction.Send> replies(
      Optional<Instant> confirmedAt, long committed, Instant now) {
    List<StateMachineAction.Send> replies = new ArrayList<>();
    questions.removeIf(
        question -> {
          boolean known = confirmedAt.filter(at -> !at.isBefore(question.arrivedAt())).isPresent();
          if (known) {
            replies.add(
                new StateMachineAction.Send(
                    question.from(),
                    new StateMachineMessage.ReadIndexReply(question.askedAt(), committed)));
          }
          return known || now.isAfter(question.arrivedAt().plus(KEPT));
        });
    return replies;
  }

  private void moveTo(Instant moment) {
    if (moment.isAfter(currentAt)) {
      currentAt = moment;
    }
  }
}
