package org.cuminwell.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Reserves numbered things: each call that runs takes the next number. Thread safe. */
final class PlainService implements Endpoint {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final RunLog log = new RunLog();
  private final AtomicInteger running = new AtomicInteger();

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    if (exchange.getRequestURI().getPath().equals("/standin/runs")) {
      Replies.json(exchange, 200, log.toJson());
      return;
    }
    running.incrementAndGet();
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      ObjectNode answer = MAPPER.createObjectNode();
      answer.put("number", log.add(exchange));
      answer.put("path", exchange.getRequestURI().getPath());
      answer.put("received", body);
      Replies.json(exchange, 200, answer);
    } finally {
      running.decrementAndGet();
    }
  }

  @Override
  public int running() {
    return running.get();
  }

  @Override
  public int queued() {
    return 0;
  }
}
