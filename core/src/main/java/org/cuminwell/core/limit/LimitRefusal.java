package org.cuminwell.core.limit;

import java.util.Optional;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/** Builds the failure for a request that its customer's limit refuses. Stateless. */
public final class LimitRefusal {

  private LimitRefusal() {}

  /**
   * Returns the failure, or empty if the request was admitted.
   *
   * @param estimate how many tokens the request was to be charged
   */
  public static Optional<Failure> of(Admission admission, long estimate) {
    return switch (admission) {
      case Admission.Admitted a -> Optional.empty();
      case Admission.OverRate a ->
          Optional.of(
              Failure.notRunRetryAfter(
                  ErrorCode.RATE_LIMITED,
                  "the customer asks for more than its token rate; send less and retry later",
                  a.retryAfter()));
      case Admission.ShareShort a ->
          Optional.of(
              Failure.notRunRetryAfter(
                  ErrorCode.SHARE_SHORT,
                  "this host's share of the token limit is used up; retry here or at another"
                      + " entry host",
                  a.retryAfter()));
      case Admission.TooLarge a ->
          Optional.of(
              Failure.notRun(
                  ErrorCode.RATE_LIMITED,
                  "the request may take "
                      + estimate
                      + " tokens and the customer's burst is "
                      + a.burstTokens()
                      + "; lower max_tokens or shorten the prompt"));
    };
  }
}
