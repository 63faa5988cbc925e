package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cuminwell.core.model.Usage;

/**
 * Reads a streamed completion as it passes, to find its end and its usage.
 *
 * <p>An answer is whole only when its terminal marker has come. Not thread safe: one stream owns
 * it.
 */
final class AnswerCheck {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private boolean whole;
  private long chunks;
  private Usage reported = Usage.NONE;

  /** Reads the next bytes of the stream. */
  void read(byte[] bytes) {
    for (byte b : bytes) {
      if (b == '\n') {
        endLine();
      } else if (line.size() < MAX_LINE_BYTES) {
        line.write(b);
      }
    }
  }

  /** Returns whether the terminal marker has come. */
  boolean isWhole() {
    return whole;
  }

  /** Returns what the engine reported, or what was counted where it reported nothing. */
  Usage usage() {
    return reported.total() > 0 ? reported : new Usage(0, chunks);
  }

  /** Returns the usage that a whole JSON answer reports. */
  static Usage usageOf(byte[] json) throws IOException {
    return usageOf(MAPPER.readTree(json).path("usage"));
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8).strip();
    line.reset();
    if (!text.startsWith(DATA)) {
      return;
    }
    String data = text.substring(DATA.length()).strip();
    if (data.equals(DONE)) {
      whole = true;
      return;
    }
    chunks++;
    if (data.contains("\"usage\"")) {
      readUsage(data);
    }
  }

  private void readUsage(String data) {
    try {
      Usage usage = usageOf(MAPPER.readTree(data).path("usage"));
      if (usage.total() > 0) {
        reported = usage;
      }
    } catch (JsonProcessingException e) {
      // Not a usage report after all; the caller gets it as it came.
      return;
    }
  }

  private static Usage usageOf(JsonNode usage) {
    return new Usage(
        Math.max(0, usage.path("prompt_tokens").asLong(0)),
        Math.max(0, usage.path("completion_tokens").asLong(0)));
  }
}
