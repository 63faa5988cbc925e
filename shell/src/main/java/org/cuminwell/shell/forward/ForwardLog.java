package org.cuminwell.shell.forward;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardLogEvent;
import org.cuminwell.core.model.Failure;

/**
 * Writes decisions about forwarded requests, one JSON object a line.
 *
 * <p>All lines of a request are written or none, chosen by a hash of the caller's name for it, so
 * that all hosts choose the same ones; failures are always written. Thread safe.
 */
final class ForwardLog {

  /** One request in this many is written down though nothing failed. */
  static final int SAMPLED_ONE_IN = 16;

  private static final System.Logger LOG = System.getLogger("org.cuminwell.request");

  void write(ForwardAction.Log log) {
    boolean sampled = Math.floorMod(log.callerId().hashCode(), SAMPLED_ONE_IN) == 0;
    if (sampled || log.event().isFailure()) {
      LOG.log(System.Logger.Level.INFO, () -> toJson(log).toString());
    }
  }

  static ObjectNode toJson(ForwardAction.Log log) {
    ObjectNode line = JsonNodeFactory.instance.objectNode().put("request", log.callerId());
    switch (log.event()) {
      case ForwardLogEvent.Sent n -> {
        line.put("did", "sent")
            .put("attempt", n.attempt())
            .put("endpoint", n.endpoint().value())
            .put("heard_ms_ago", n.announcementAge().toMillis())
            .put("out_of", n.candidateCount())
            .put("left_ms", n.timeLeft().toMillis());
        n.relay().ifPresent(relay -> line.put("over", relay.toString()));
      }
      case ForwardLogEvent.AttemptFailed n -> {
        line.put("did", "attempt_failed").put("attempt", n.attempt());
        putFailure(Optional.of(n.failure()), line);
      }
      case ForwardLogEvent.Ended n -> {
        line.put("did", n.failure().isPresent() ? "failed" : "answered")
            .put("attempts", n.attempts())
            .put("took_ms", n.duration().toMillis())
            .put("revision", n.revision().value())
            .put("configuration_ms_old", n.configurationAge().toMillis());
        n.route().ifPresent(route -> line.put("route", route.value()));
        n.customer().ifPresent(customer -> line.put("customer", customer.value()));
        n.timeToFirstByte().ifPresent(first -> line.put("first_byte_ms", first.toMillis()));
        putFailure(n.failure(), line);
      }
    }
    return line;
  }

  private static void putFailure(Optional<Failure> failure, ObjectNode line) {
    failure.ifPresent(
        f ->
            line.put("code", f.code().label())
                .put("verdict", f.verdict().label())
                .put("why", f.message()));
  }
}
