package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardAttemptOutcome;

/**
 * Decides what of a response body is passed on as its parts arrive.
 *
 * <p>Not thread safe: each belongs to one response.
 */
sealed interface BodyFilter permits EventBoundaryCheck, EventFraming, UnchangedBody {

  /** Says what becomes of a part. */
  sealed interface Result {

    /** Passes the bytes on. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    record Pass(byte[] bytes) implements Result {}

    /** Holds the part back until more arrives. */
    record Hold() implements Result {}

    /** Ends the attempt, since its response is not acceptable. */
    record Fail(ForwardAttemptOutcome outcome) implements Result {}
  }

  /** Decides on the next part. */
  Result accept(byte[] part);

  /** Returns why the body is not whole if it ends here; empty if it is. */
  Optional<ForwardAttemptOutcome> findFaultAtEnd();
}
