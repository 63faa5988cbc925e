package org.cuminwell.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Generates meaningless completions at a set pace, so many at once; further ones wait.
 *
 * <p>Thread safe.
 */
final class Engine implements Endpoint {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_TOKENS = 16;
  private static final int BYTES_PER_TOKEN = 4;

  private final StandinFlags flags;
  private final Semaphore slots;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final RunLog log = new RunLog();

  Engine(StandinFlags flags) {
    this.flags = flags;
    this.slots = new Semaphore(flags.capacity, true);
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    switch (path) {
      case "/standin/runs" -> Replies.json(exchange, 200, log.toJson());
      case "/v1/chat/completions" -> complete(exchange);
      default ->
          Replies.json(exchange, 404, MAPPER.createObjectNode().put("error", "no such path"));
    }
  }

  @Override
  public int running() {
    return running.get();
  }

  @Override
  public int queued() {
    return waiting.get();
  }

  private void complete(HttpExchange exchange) throws IOException {
    JsonNode request = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    waiting.incrementAndGet();
    slots.acquireUninterruptibly();
    waiting.decrementAndGet();
    running.incrementAndGet();
    try {
      log.add(exchange);
      generate(exchange, request);
    } finally {
      running.decrementAndGet();
      slots.release();
    }
  }

  private void generate(HttpExchange exchange, JsonNode request) throws IOException {
    int tokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
    String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
    exchange.getResponseHeaders().set("X-Request-Id", id == null ? "" : id);
    pause(flags.firstTokenMillis);
    if (request.path("stream").asBoolean(false)) {
      stream(exchange, request, id, tokens);
    } else {
      pause((long) flags.tokenMillis * tokens);
      Replies.json(exchange, 200, whole(request, id, tokens));
    }
  }

  private void stream(HttpExchange exchange, JsonNode request, String id, int tokens)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      for (int token = 1; token <= tokens; token++) {
        ObjectNode chunk = envelope(id, "chat.completion.chunk");
        chunk.withArray("choices").addObject().putObject("delta").put("content", "t" + token + " ");
        send(out, chunk.toString());
        pause(flags.tokenMillis);
      }
      ObjectNode last = envelope(id, "chat.completion.chunk");
      last.putArray("choices");
      last.set("usage", usage(request, tokens));
      send(out, last.toString());
      send(out, "[DONE]");
    }
  }

  private ObjectNode whole(JsonNode request, String id, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int token = 1; token <= tokens; token++) {
      text.append('t').append(token).append(' ');
    }
    ObjectNode body = envelope(id, "chat.completion");
    ObjectNode choice = body.withArray("choices").addObject();
    choice.putObject("message").put("role", "assistant").put("content", text.toString());
    choice.put("finish_reason", "stop");
    body.set("usage", usage(request, tokens));
    return body;
  }

  private ObjectNode envelope(String id, String kind) {
    return MAPPER
        .createObjectNode()
        .put("id", id)
        .put("object", kind)
        .put("model", flags.serves.getFirst())
        .put("system_fingerprint", flags.endpoint);
  }

  private static ObjectNode usage(JsonNode request, int tokens) {
    int prompt = 1 + request.path("messages").toString().length() / BYTES_PER_TOKEN;
    return MAPPER
        .createObjectNode()
        .put("prompt_tokens", prompt)
        .put("completion_tokens", tokens)
        .put("total_tokens", prompt + tokens);
  }

  private static void send(OutputStream out, String data) throws IOException {
    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(Duration.ofMillis(millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
