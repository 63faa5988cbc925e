package org.cuminwell.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Remembers what ran here, so that tests can compare it with what callers were told.
 *
 * <p>Only the last {@link #MAX_ENTRIES} are kept; the count is of all. Thread safe.
 */
final class RunLog {

  /** How many runs are remembered. */
  static final int MAX_ENTRIES = 10_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ArrayDeque<Run> runs = new ArrayDeque<>();
  private long count;

  /** Tells of one run. Immutable and thread safe. */
  record Run(String requestId, String method, String uri, List<String> headers) {
    /** Copies the list. */
    Run {
      headers = List.copyOf(headers);
    }
  }

  /** Notes that a request runs, and returns its place in the order, from 1. */
  synchronized long add(HttpExchange exchange) {
    List<String> headers = new ArrayList<>();
    exchange
        .getRequestHeaders()
        .forEach((name, values) -> values.forEach(value -> headers.add(name + ": " + value)));
    String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
    runs.add(
        new Run(
            id == null ? "" : id,
            exchange.getRequestMethod(),
            exchange.getRequestURI().toString(),
            headers));
    if (runs.size() > MAX_ENTRIES) {
      runs.remove();
    }
    count++;
    return count;
  }

  /** Returns the count and the remembered runs. */
  synchronized ObjectNode toJson() {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("count", count);
    root.set("runs", MAPPER.valueToTree(runs));
    return root;
  }
}
