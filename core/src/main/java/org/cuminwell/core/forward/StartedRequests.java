package org.cuminwell.core.forward;

import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.duty.UsageCounter;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.model.Customer;

/**
 * Counts the requests that began to run, with their first token, by customer and window.
 *
 * <p>Only a successful response that is a stream has tokens. Each request counts once, also if
 * another endpoint goes on with it. Not thread safe: one thread owns it.
 */
final class StartedRequests {

  private final Optional<UsageCounter> counter;

  /** Creates the counts; without a counter nothing is counted. */
  StartedRequests(Optional<UsageCounter> counter) {
    this.counter = counter;
  }

  /** Counts the request, the first part of whose response body has arrived. */
  void record(ForwardedCall call, Instant now) {
    if (counter.isPresent() && call.isSuccess() && call.route().retrySemantics().isStream()) {
      call.customerIfAny().map(Customer::id).ifPresent(id -> counter.get().record(id, now));
    }
  }

  /** Answers a control host's request for the counts; empty if nothing is counted. */
  Optional<UsageMessage.Counts> answer(UsageMessage.Request request, Instant now) {
    return counter.map(c -> c.answer(request, now));
  }
}
