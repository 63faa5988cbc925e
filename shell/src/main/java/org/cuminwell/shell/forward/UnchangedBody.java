package org.cuminwell.shell.forward;

import java.util.Optional;
import org.cuminwell.core.forward.ForwardAttemptOutcome;

/** Passes a body on whatever it holds. Stateless and thread safe. */
record UnchangedBody() implements BodyFilter {

  @Override
  public Result accept(byte[] part) {
    return new Result.Pass(part);
  }

  @Override
  public Optional<ForwardAttemptOutcome> findFaultAtEnd() {
    return Optional.empty();
  }
}
