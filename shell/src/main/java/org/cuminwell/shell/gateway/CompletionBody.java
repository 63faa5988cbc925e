package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.cuminwell.core.gateway.CallBody;
import org.cuminwell.core.model.RequestId;

/** Reads the parts of a completion request that decisions need. Stateless and thread safe. */
final class CompletionBody {

  /** What is charged where the caller sets no limit, in tokens. */
  static final long DEFAULT_MAX_TOKENS = 512;

  private static final long MAX_TOKENS = 1_000_000;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 1_024;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CompletionBody() {}

  /**
   * Reads the body.
   *
   * @throws IllegalArgumentException if it is not a completion request; the message says why
   */
  static CallBody.Completion read(RequestId id, byte[] json) {
    JsonNode root = parse(json);
    require(root.isObject(), "the body must be a JSON object");
    require(root.path("model").isTextual(), "'model' must be the name of a model");
    require(
        root.path("messages").isArray() && !root.path("messages").isEmpty(),
        "'messages' must be a list of at least one message");
    JsonNode stream = root.path("stream");
    require(stream.isMissingNode() || stream.isBoolean(), "'stream' must be true or false");
    return new CallBody.Completion(
        id,
        root.path("model").textValue(),
        stream.asBoolean(false),
        promptTokens(root.path("messages")),
        maxTokens(root),
        prefixHash(root));
  }

  private static JsonNode parse(byte[] json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "the body is not valid JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("the body can't be read", e);
    }
  }

  private static long maxTokens(JsonNode root) {
    JsonNode max =
        root.has("max_completion_tokens")
            ? root.path("max_completion_tokens")
            : root.path("max_tokens");
    if (max.isMissingNode()) {
      return DEFAULT_MAX_TOKENS;
    }
    require(
        max.isIntegralNumber() && max.longValue() >= 1 && max.longValue() <= MAX_TOKENS,
        "'max_tokens' must be from 1 to " + MAX_TOKENS);
    return max.longValue();
  }

  /** Returns a hash of the model and the first part of the prompt. */
  private static long prefixHash(JsonNode root) {
    Hash hash = new Hash();
    hash.add(root.path("model").textValue());
    int left = PREFIX_CHARACTERS;
    for (JsonNode message : root.path("messages")) {
      if (left <= 0) {
        break;
      }
      String content = message.path("content").toString();
      String part = content.substring(0, Math.min(left, content.length()));
      hash.add(message.path("role").asText());
      hash.add(part);
      left -= part.length();
    }
    return hash.value;
  }

  /** Is the 64-bit FNV-1a hash, over characters. Not thread safe. */
  private static final class Hash {
    private long value = 0xcbf29ce484222325L;

    void add(String text) {
      for (int i = 0; i < text.length(); i++) {
        value = (value ^ text.charAt(i)) * 0x100000001b3L;
      }
    }
  }

  private static long promptTokens(JsonNode messages) {
    long bytes = 0;
    for (JsonNode message : messages) {
      require(message.isObject(), "each message must be an object");
      bytes += message.path("content").toString().length();
    }
    return 1 + bytes / BYTES_PER_TOKEN;
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
