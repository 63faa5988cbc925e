package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cuminwell.core.model.Usage;
import org.jspecify.annotations.Nullable;

/**
 * Checks an answer of a model engine as it passes, line by line.
 *
 * <p>Only lines that have been checked are cleared for the caller. The terminal marker is held back
 * until the engine has ended its answer after it, so that a caller who sees the marker has a whole
 * answer. Lines before the first part are held back with it, since an answer that has no part yet
 * leaves room for another attempt. Invariant: at most {@link #MAX_QUIET_BYTES} come without a part.
 * Not thread safe: one stream owns it.
 */
final class AnswerCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonFactory JSON = MAPPER.getFactory();
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final byte[] MARKER = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NOTHING = {};
  private static final int MAX_LINE_BYTES = 1 << 20;

  /** The most that may come in lines that hold no part. */
  static final int MAX_QUIET_BYTES = 64 * 1024;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final ByteArrayOutputStream opening = new ByteArrayOutputStream();
  private @Nullable String answerId;
  private @Nullable String fault;
  private boolean marked;
  private long chunks;
  private int quietBytes;
  private Usage reported = Usage.NONE;

  /** Reads the next bytes of the stream and returns those that may be passed on. */
  byte[] read(byte[] bytes) {
    ByteArrayOutputStream cleared = new ByteArrayOutputStream(bytes.length + line.size());
    int start = 0;
    for (int i = 0; i < bytes.length && fault == null; i++) {
      if (bytes[i] == '\n') {
        line.write(bytes, start, i + 1 - start);
        start = i + 1;
        endLine(cleared);
      }
    }
    if (fault != null) {
      return cleared.toByteArray();
    }
    line.write(bytes, start, bytes.length - start);
    if (line.size() > MAX_LINE_BYTES) {
      fault = "the endpoint sent a line that is too long";
    }
    return cleared.toByteArray();
  }

  /** Takes in that the engine has ended its answer, and returns the last bytes to pass on. */
  byte[] end() {
    if (fault == null && line.size() > 0) {
      endLine(new ByteArrayOutputStream());
    }
    if (fault == null && !marked) {
      fault = "the answer ended before its terminal marker";
    }
    return fault == null ? MARKER.clone() : NOTHING;
  }

  /** Returns what is wrong with the answer, if anything is. */
  Optional<String> fault() {
    return Optional.ofNullable(fault);
  }

  /** Returns what the engine reported, or what was counted where it reported nothing. */
  Usage usage() {
    return reported.total() > 0 ? reported : new Usage(0, chunks);
  }

  /**
   * Returns the usage that a whole JSON answer reports.
   *
   * @throws IOException if it is not a whole answer
   */
  static Usage usageOf(byte[] json) throws IOException {
    JsonNode root = MAPPER.readTree(json);
    if (!root.path("choices").isArray()) {
      throw new IOException("an answer without choices");
    }
    return usageOf(root.path("usage"));
  }

  private void endLine(ByteArrayOutputStream cleared) {
    byte[] bytes = line.toByteArray();
    line.reset();
    String text = new String(bytes, StandardCharsets.UTF_8).strip();
    if (marked) {
      if (!text.isEmpty()) {
        fault = "the endpoint sent more after the terminal marker";
      }
      return;
    }
    if (text.startsWith(DATA)) {
      quietBytes = 0;
      readData(text.substring(DATA.length()).strip());
    } else {
      quietBytes += bytes.length;
      if (quietBytes > MAX_QUIET_BYTES) {
        fault = "the endpoint sent lines without a part";
      }
    }
    if (fault == null && !marked) {
      clear(bytes, cleared);
    }
  }

  private void clear(byte[] bytes, ByteArrayOutputStream cleared) {
    if (chunks == 0) {
      opening.writeBytes(bytes);
      return;
    }
    cleared.writeBytes(opening.toByteArray());
    opening.reset();
    cleared.writeBytes(bytes);
  }

  private void readData(String data) {
    if (data.equals(DONE)) {
      marked = true;
      return;
    }
    try (JsonParser parser = JSON.createParser(data)) {
      readChunk(parser);
      chunks++;
    } catch (IOException e) {
      fault = "the endpoint sent a part that is not valid JSON";
    }
  }

  private void readChunk(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      fault = "the endpoint sent a part that is not a JSON object";
      return;
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      switch (name) {
        case "id" -> readId(parser);
        case "usage" -> readUsage(parser);
        case "error" -> fault = "the endpoint reported an error";
        default -> parser.skipChildren();
      }
      if (fault != null) {
        return;
      }
    }
  }

  private void readId(JsonParser parser) throws IOException {
    String id = parser.getValueAsString("");
    if (answerId == null) {
      answerId = id;
    } else if (!answerId.equals(id)) {
      fault = "the endpoint mixed the parts of two answers";
    }
  }

  private void readUsage(JsonParser parser) throws IOException {
    JsonNode node = MAPPER.readTree(parser);
    Usage usage = node == null ? Usage.NONE : usageOf(node);
    if (usage.total() > 0) {
      reported = usage;
    }
  }

  private static Usage usageOf(JsonNode usage) {
    return new Usage(
        Math.max(0, usage.path("prompt_tokens").asLong(0)),
        Math.max(0, usage.path("completion_tokens").asLong(0)));
  }
}
