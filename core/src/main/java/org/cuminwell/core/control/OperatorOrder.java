package org.cuminwell.core.control;

import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.rollout.RolloutOrder;

/**
 * Represents an order of an operator that carries no number of its own, and that a later order on
 * the same subject may undo.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface OperatorOrder {

  /**
   * Starts or ends the evacuation of a data centre, whose endpoints get no requests meanwhile.
   *
   * @param evacuated whether the evacuation starts; otherwise it ends
   */
  record Evacuate(DataCentreId dataCentre, boolean evacuated) implements OperatorOrder {}

  /** Starts the rollout of another version of a service, in place of its last rollout. */
  record BeginRollout(RolloutOrder rollout) implements OperatorOrder {}

  /** Returns what the order is about: only orders on equal subjects undo each other. */
  default OrderSubject subject() {
    return switch (this) {
      case Evacuate o -> new OrderSubject.Evacuation(o.dataCentre());
      case BeginRollout o -> new OrderSubject.Rollouts(o.rollout().service());
    };
  }
}
