package org.cuminwell.shell.forward;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardLogEvent;
import org.cuminwell.core.model.Failure;

/**
 * Logs decisions about forwarded requests, one JSON object per line.
 *
 * <p>Requests are sampled by a hash of the id that the caller gave them, so that all hosts sample
 * the same ones and log all events of each. Failures and retries are always logged. Thread safe.
 */
final class ForwardLog {

  /** One in this many requests is logged even if nothing fails. */
  static final int SAMPLED_ONE_IN = 16;

  private static final System.Logger LOG = System.getLogger("org.cuminwell.request");

  /** Logs the event if its request is sampled or if the event is always logged. */
  void write(ForwardAction.Log log) {
    boolean sampled = Math.floorMod(log.callerRequestId().hashCode(), SAMPLED_ONE_IN) == 0;
    if (sampled || log.event().isAlwaysLogged()) {
      LOG.log(System.Logger.Level.INFO, () -> toJson(log).toString());
    }
  }

  /** Returns the JSON object of a log line. */
  static ObjectNode toJson(ForwardAction.Log log) {
    ObjectNode line = JsonNodeFactory.instance.objectNode().put("request", log.callerRequestId());
    switch (log.event()) {
      case ForwardLogEvent.Sent e -> {
        line.put("did", "sent")
            .put("attempt", e.attempt())
            .put("endpoint", e.endpoint().value())
            .put("heard_ms_ago", e.announcementAge().toMillis())
            .put("out_of", e.candidateCount())
            .put("left_ms", e.timeLeft().toMillis())
            .put("waited_ms", e.waited().toMillis())
            .put("customer_rank", e.priority().customerRank())
            .put("route_rank", e.priority().routeRank());
        e.relay().ifPresent(relay -> line.put("over", relay.toString()));
      }
      case ForwardLogEvent.AttemptFailed e -> {
        line.put("did", "attempt_failed")
            .put("attempt", e.attempt())
            .put("endpoint", e.endpoint().value())
            .put("incarnation", e.incarnation())
            .put("after_ms", e.elapsed().toMillis())
            .put("connection_lost", e.connectionLost());
        e.responding().ifPresent(time -> line.put("responding_ms", time.toMillis()));
        putTraits(e.traits(), line);
        putFailure(Optional.of(e.failure()), line);
      }
      case ForwardLogEvent.EndpointLeaving e ->
          line.put("did", "endpoint_leaving")
              .put("attempt", e.attempt())
              .put("endpoint", e.endpoint().value())
              .put("incarnation", e.incarnation());
      case ForwardLogEvent.Ended e -> {
        line.put("did", e.failure().isPresent() ? "failed" : "answered")
            .put("attempts", e.attempts())
            .put("took_ms", e.duration().toMillis())
            .put("revision", e.revision().value())
            .put("configuration_ms_old", e.configurationAge().toMillis());
        e.route().ifPresent(route -> line.put("route", route.value()));
        e.customer().ifPresent(customer -> line.put("customer", customer.value()));
        e.timeToFirstByte().ifPresent(first -> line.put("first_byte_ms", first.toMillis()));
        putFailure(e.failure(), line);
      }
    }
    return line;
  }

  private static void putTraits(List<Trait> traits, ObjectNode line) {
    if (!traits.isEmpty()) {
      ArrayNode labels = line.putArray("traits");
      traits.forEach(trait -> labels.add(trait.label()));
    }
  }

  private static void putFailure(Optional<Failure> failure, ObjectNode line) {
    failure.ifPresent(
        f ->
            line.put("code", f.code().label())
                .put("verdict", f.verdict().label())
                .put("why", f.message()));
  }
}
