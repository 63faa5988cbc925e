package org.cuminwell.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.cuminwell.core.ticket.ValidationError;

/**
 * Reads the fields of one JSON object, and collects faults instead of stopping at the first.
 *
 * <p>Where a field is faulty a harmless value is returned; the fault list tells that it must not be
 * used. Not thread safe.
 */
final class JsonObjectReader {

  private final String path;
  private final JsonNode object;
  private final List<ValidationError> faults;
  private final Set<String> read = new HashSet<>();

  private JsonObjectReader(String path, JsonNode object, List<ValidationError> faults) {
    this.path = path;
    this.object = object;
    this.faults = faults;
  }

  static JsonObjectReader root(JsonNode node, List<ValidationError> faults) {
    return at("", node, faults);
  }

  boolean has(String field) {
    return object.has(field);
  }

  Optional<String> text(String field) {
    JsonNode node = take(field);
    if (node.isMissingNode()) {
      return Optional.empty();
    }
    if (!node.isTextual()) {
      fault(field, "must be a string");
      return Optional.empty();
    }
    return Optional.of(node.textValue());
  }

  String requiredText(String field) {
    if (!has(field)) {
      fault(field, "is missing");
    }
    return text(field).orElse("");
  }

  /** Returns the whole number in the field, or {@code min} where it is faulty. */
  long requiredLong(String field, long min) {
    JsonNode node = take(field);
    if (node.isMissingNode()) {
      fault(field, "is missing");
      return min;
    }
    if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < min) {
      fault(field, "must be a whole number of at least " + min);
      return min;
    }
    return node.longValue();
  }

  double number(String field, double ifMissing) {
    JsonNode node = take(field);
    if (node.isMissingNode()) {
      return ifMissing;
    }
    if (!node.isNumber()) {
      fault(field, "must be a number");
      return ifMissing;
    }
    return node.doubleValue();
  }

  /** Returns the flag, which is false where it is missing. */
  boolean flag(String field) {
    JsonNode node = take(field);
    if (!node.isMissingNode() && !node.isBoolean()) {
      fault(field, "must be true or false");
    }
    return node.asBoolean(false);
  }

  <T> Set<T> names(String field, Function<String, T> make) {
    JsonNode node = take(field);
    Set<T> values = new HashSet<>();
    if (node.isMissingNode()) {
      return values;
    }
    if (!node.isArray()) {
      fault(field, "must be a list of strings");
      return values;
    }
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        fault(field, "must be a list of strings");
        continue;
      }
      guarded(
          field,
          () -> {
            if (!values.add(make.apply(item.textValue()))) {
              fault(field, "holds a value twice");
            }
          });
    }
    return values;
  }

  /** Reads an object whose fields are ids; null stands for removal. */
  <K, V> Map<K, Optional<V>> entries(
      String field, Function<String, K> makeId, BiFunction<K, JsonObjectReader, V> make) {
    Map<K, Optional<V>> values = new LinkedHashMap<>();
    JsonNode node = take(field);
    if (node.isMissingNode()) {
      return values;
    }
    if (!node.isObject()) {
      fault(field, "must be an object with an entry for each id");
      return values;
    }
    node.properties()
        .forEach(
            entry ->
                guarded(
                    field + "." + entry.getKey(),
                    () -> {
                      K id = makeId.apply(entry.getKey());
                      values.put(
                          id, entry(field + "." + entry.getKey(), id, entry.getValue(), make));
                    }));
    return values;
  }

  void fault(String field, String message) {
    faults.add(new ValidationError(pathOf(field), message));
  }

  /** Reports the fields that nobody has asked for. */
  void end() {
    object
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (!read.contains(name)) {
                fault(name, "is not a field of this object; remove it");
              }
            });
  }

  private <K, V> Optional<V> entry(
      String field, K id, JsonNode node, BiFunction<K, JsonObjectReader, V> make) {
    if (node.isNull()) {
      return Optional.empty();
    }
    JsonObjectReader reader = at(pathOf(field), node, faults);
    try {
      return Optional.of(make.apply(id, reader));
    } finally {
      reader.end();
    }
  }

  private static JsonObjectReader at(String path, JsonNode node, List<ValidationError> faults) {
    if (node.isObject()) {
      return new JsonObjectReader(path, node, faults);
    }
    faults.add(new ValidationError(path, "must be an object"));
    return new JsonObjectReader(path, new ObjectNode(JsonNodeFactory.instance), faults);
  }

  private JsonNode take(String field) {
    read.add(field);
    return object.path(field);
  }

  private void guarded(String field, Runnable step) {
    try {
      step.run();
    } catch (IllegalArgumentException e) {
      String message = e.getMessage();
      fault(field, message == null ? "is not valid" : message);
    }
  }

  private String pathOf(String field) {
    if (path.isEmpty() || field.isEmpty()) {
      return path + field;
    }
    return path + "." + field;
  }
}
