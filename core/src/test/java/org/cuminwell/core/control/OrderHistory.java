package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.config.Configuration;

/**
 * Checks that no order takes effect after a later one was acknowledged, if its sender had given it
 * up before it sent the later one.
 *
 * <p>An order takes effect at the first revision of the replicated state that is as it asks, after
 * one that is not. Revisions are checked when the first host applies them, which is not later than
 * any answer that rests on them.
 */
final class OrderHistory {

  /** Holds one sending of an order to one host. */
  static final class Attempt {
    private final OperatorOrder order;
    private final Instant sentAt;
    private Optional<Instant> gaveUpAt = Optional.empty();

    private Attempt(OperatorOrder order, Instant sentAt) {
      this.order = order;
      this.sentAt = sentAt;
    }

    private boolean wasGivenUpBefore(Instant time) {
      return gaveUpAt.filter(time::isAfter).isPresent();
    }
  }

  private final List<Attempt> attempts = new ArrayList<>();
  private final Map<OrderSubject, Instant> lastAcknowledgedSending = new HashMap<>();
  private final Map<OrderSubject, OperatorOrder> inForce = new HashMap<>();
  private final List<String> faults = new ArrayList<>();
  private long lastRevision;
  private int acknowledged;

  Attempt onSent(OperatorOrder order, Instant now) {
    Attempt attempt = new Attempt(order, now);
    attempts.add(attempt);
    return attempt;
  }

  /** Records that the sending is over: its sender no longer waits for the answer. */
  void onGivenUp(Attempt attempt, Instant now) {
    if (attempt.gaveUpAt.isEmpty()) {
      attempt.gaveUpAt = Optional.of(now);
    }
  }

  void onAcknowledged(Attempt attempt, Instant now) {
    acknowledged++;
    onGivenUp(attempt, now);
    lastAcknowledgedSending.merge(
        attempt.order.subject(), attempt.sentAt, (a, b) -> a.isAfter(b) ? a : b);
  }

  /** Records an order that was in vain although hosts could be asked for long enough. */
  void onNeverAcknowledged(OperatorOrder order, Instant now) {
    faults.add("not acknowledged in time although nothing fails, until " + now + ": " + order);
  }

  /** Checks what the next revision of the state changes; the order is one that the state is as. */
  void onRevision(Configuration configuration, List<OperatorOrder> asOrdered, Instant now) {
    if (configuration.revision().value() <= lastRevision) {
      return;
    }
    lastRevision = configuration.revision().value();
    for (OperatorOrder order : asOrdered) {
      OperatorOrder before = inForce.put(order.subject(), order);
      if (before != null && !before.equals(order)) {
        checkMayTakeEffect(order, now);
      }
    }
  }

  private void checkMayTakeEffect(OperatorOrder order, Instant now) {
    Instant later = lastAcknowledgedSending.getOrDefault(order.subject(), Instant.MIN);
    boolean isWanted =
        attempts.stream()
            .anyMatch(attempt -> attempt.order.equals(order) && !attempt.wasGivenUpBefore(later));
    if (!isWanted) {
      faults.add("took effect at " + now + " after a later one was acknowledged: " + order);
    }
  }

  /** Returns the number of acknowledged orders. */
  int acknowledged() {
    return acknowledged;
  }

  List<String> faults() {
    return List.copyOf(faults);
  }
}
