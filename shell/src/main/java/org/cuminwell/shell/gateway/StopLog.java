package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.cuminwell.core.forward.OpenRequest;
import org.cuminwell.core.gateway.StopLogEvent;

/** Writes the steps of a gateway that stops, one JSON object a line. Stateless and thread safe. */
final class StopLog {

  /** The most requests that are written down by name. */
  static final int MOST_NAMED = 32;

  private static final System.Logger LOG = System.getLogger("org.cuminwell.stop");

  private StopLog() {}

  /** Writes a step that was decided. */
  static void write(StopLogEvent note) {
    LOG.log(System.Logger.Level.INFO, line(note).toString());
  }

  /** Writes that a step was carried out, and how long it took. */
  static void write(String did, Duration took) {
    LOG.log(System.Logger.Level.INFO, step(did).put("took_ms", took.toMillis()).toString());
  }

  /**
   * Writes that the process has ended something.
   *
   * @param after how long ago the stop was asked for
   * @param left how much of the time for the stop is left
   */
  static void write(String did, Duration after, Duration left) {
    LOG.log(System.Logger.Level.INFO, ended(did, after, left).toString());
  }

  /**
   * Writes that the process has ended connections or what runs over them.
   *
   * @param cut how many owed an answer all the same
   */
  static void write(String did, int cut, Duration after, Duration left) {
    LOG.log(System.Logger.Level.INFO, ended(did, after, left).put("cut", cut).toString());
  }

  static ObjectNode line(StopLogEvent note) {
    return switch (note) {
      case StopLogEvent.Requested n ->
          step("asked").put("open", n.openRequests()).put("within_ms", n.gracePeriod().toMillis());
      case StopLogEvent.Refusing n ->
          step("refusing").put("open", n.openRequests()).put("after_ms", n.elapsed().toMillis());
      case StopLogEvent.RequestsAborted n -> cut(n);
      case StopLogEvent.Idle n -> step("idle").put("after_ms", n.elapsed().toMillis());
    };
  }

  private static ObjectNode cut(StopLogEvent.RequestsAborted note) {
    ObjectNode line =
        step("cut").put("open", note.requests().size()).put("after_ms", note.elapsed().toMillis());
    ArrayNode requests = line.putArray("requests");
    List<OpenRequest> named = note.requests().stream().limit(MOST_NAMED).toList();
    for (OpenRequest request : named) {
      requests
          .addObject()
          .put("request", request.callerRequestId())
          .put("age_ms", request.age().toMillis())
          .put("attempts", request.attempts())
          .put("answer_begun", request.isResponseStarted());
    }
    return line;
  }

  private static ObjectNode ended(String did, Duration after, Duration left) {
    return step(did).put("after_ms", after.toMillis()).put("left_ms", left.toMillis());
  }

  private static ObjectNode step(String did) {
    return JsonNodeFactory.instance.objectNode().put("stop", did);
  }
}
