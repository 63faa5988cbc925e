package org.cuminwell.core.control;

import java.time.Duration;
import org.cuminwell.core.model.Failure;

/**
 * Describes the outcome of an operator's order, for the log. Immutable and thread safe.
 *
 * @param age the largest age that the order can have had when it was submitted
 * @param took the time from then to the decision
 */
public record OrderDecision(OperatorOrder order, Duration age, Duration took, Outcome outcome) {

  /** States how an order ended. */
  public sealed interface Outcome {
    /** States that the state is as the order asks. */
    record CarriedOut() implements Outcome {}

    /** States that another order on the subject came before, so that this one had no effect. */
    record Overtaken() implements Outcome {}

    /** States that the order was refused, or that its outcome is unknown. */
    record Failed(Failure failure) implements Outcome {}
  }
}
