package org.cuminwell.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.ValidationError;

/**
 * Reads and writes tickets as JSON.
 *
 * <p>Every fault of a ticket is reported at once with its path, unknown fields among them. Keys are
 * hashed as they are read, so that no key goes further. Stateless and thread safe.
 */
public final class TicketJson {

  /** The version of the schema that this class reads and writes. */
  public static final int SCHEMA = 1;

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(com.fasterxml.jackson.core.JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(2);
  private static final Set<String> DEFAULT_REPEATABLE = Set.of("GET", "HEAD", "OPTIONS");

  private TicketJson() {}

  /** Holds either a ticket or the faults that kept it from being read. Immutable. */
  public sealed interface Result {

    /** Holds a ticket that was read. */
    record Read(Ticket ticket) implements Result {}

    /** Holds every fault that was found. */
    record Faulty(List<ValidationError> faults) implements Result {
      /** Copies the list. */
      public Faulty {
        faults = List.copyOf(faults);
      }
    }
  }

  /** Reads the ticket of the given number from its JSON text. */
  public static Result read(TicketNumber number, byte[] json) {
    List<ValidationError> faults = new ArrayList<>();
    try {
      JsonObjectReader root = JsonObjectReader.root(MAPPER.readTree(json), faults);
      ConfigurationChange change = readChange(root);
      return faults.isEmpty()
          ? new Result.Read(new Ticket(number, change))
          : new Result.Faulty(faults);
    } catch (JsonProcessingException e) {
      return new Result.Faulty(
          List.of(new ValidationError("", "not valid JSON: " + e.getOriginalMessage())));
    } catch (java.io.IOException e) {
      return new Result.Faulty(List.of(new ValidationError("", "not readable: " + e.getMessage())));
    }
  }

  /** Returns the ticket as JSON; keys stand as their hashes. */
  public static ObjectNode write(Ticket ticket) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("schema", SCHEMA);
    ConfigurationChange change = ticket.change();
    writeAll(root, "regions", change.regions(), TicketJson::write);
    writeAll(root, "customers", change.customers(), TicketJson::write);
    writeAll(root, "routes", change.routes(), TicketJson::write);
    writeAll(root, "rollouts", change.rollouts(), TicketJson::write);
    return root;
  }

  private static ConfigurationChange readChange(JsonObjectReader root) {
    long schema = root.requiredLong("schema", 1);
    if (schema != SCHEMA) {
      root.fault("schema", "must be " + SCHEMA);
    }
    ConfigurationChange change =
        new ConfigurationChange(
            root.entries("customers", CustomerId::new, TicketJson::readCustomer),
            root.entries("routes", RouteId::new, TicketJson::readRoute),
            root.entries("regions", RegionId::new, TicketJson::readRegion),
            root.entries("rollouts", RouteId::new, TicketJson::readRollout));
    root.end();
    return change;
  }

  private static Customer readCustomer(CustomerId id, JsonObjectReader in) {
    Set<KeyHash> keys = new java.util.HashSet<>(in.names("keys", KeyHash::of));
    keys.addAll(in.names("key_hashes", KeyHash::new));
    return new Customer(
        id,
        keys,
        new TokenLimit(in.requiredLong("tokens_per_second", 1), in.requiredLong("burst_tokens", 1)),
        in.names("bound_to", RegionId::new));
  }

  private static Route readRoute(RouteId id, JsonObjectReader in) {
    Set<String> repeatable =
        in.has("repeatable_methods")
            ? in.names("repeatable_methods", Function.identity())
            : DEFAULT_REPEATABLE;
    Optional<String> model = in.text("model");
    Optional<String> service = in.text("service");
    if (model.isPresent() == service.isPresent()) {
      in.fault("", "name either a model or a service, so that endpoints can be found");
    }
    return new Route(
        id,
        model.isPresent()
            ? new Service.Model(model.get())
            : new Service.Plain(service.orElse("unnamed"), repeatable),
        in.names("bound_to", RegionId::new),
        in.text("open_as").map(CustomerId::new),
        in.has("timeout_ms")
            ? Duration.ofMillis(in.requiredLong("timeout_ms", 1))
            : DEFAULT_TIMEOUT);
  }

  private static Region readRegion(RegionId id, JsonObjectReader in) {
    return new Region(id, in.names("data_centres", DataCentreId::new));
  }

  private static RouteRollout readRollout(RouteId route, JsonObjectReader in) {
    return new RouteRollout(
        route,
        new VersionId(in.requiredText("from")),
        new VersionId(in.requiredText("to")),
        deadline(in),
        new RolloutBounds(
            in.number("first_share", 0.05),
            in.number("max_failure_rise", 0.02),
            in.number("max_slowdown", 1.5)));
  }

  private static Instant deadline(JsonObjectReader in) {
    try {
      return Instant.ofEpochMilli(Instant.parse(in.requiredText("deadline")).toEpochMilli());
    } catch (DateTimeParseException | ArithmeticException e) {
      throw new IllegalArgumentException("deadline must be a time like 2030-01-31T12:00:00Z", e);
    }
  }

  private static <K extends Comparable<K>, V> void writeAll(
      ObjectNode root, String field, Map<K, Optional<V>> values, Function<V, JsonNode> write) {
    if (values.isEmpty()) {
      return;
    }
    ObjectNode entries = root.putObject(field);
    new TreeMap<>(values)
        .forEach(
            (id, value) ->
                entries.set(id.toString(), value.map(write).orElseGet(() -> MAPPER.nullNode())));
  }

  private static JsonNode write(Customer customer) {
    ObjectNode node = MAPPER.createObjectNode();
    putNames(node, "key_hashes", customer.keys().stream().map(KeyHash::hex).toList());
    node.put("tokens_per_second", customer.limit().tokensPerSecond());
    node.put("burst_tokens", customer.limit().burstTokens());
    putNames(node, "bound_to", customer.boundTo().stream().map(RegionId::value).toList());
    return node;
  }

  private static JsonNode write(Route route) {
    ObjectNode node = MAPPER.createObjectNode();
    switch (route.service()) {
      case Service.Model model -> node.put("model", model.name());
      case Service.Plain plain -> {
        node.put("service", plain.name());
        putNames(node, "repeatable_methods", plain.idempotentMethods());
      }
    }
    putNames(node, "bound_to", route.boundTo().stream().map(RegionId::value).toList());
    route.anonymousCustomer().ifPresent(customer -> node.put("open_as", customer.value()));
    node.put("timeout_ms", route.timeout().toMillis());
    return node;
  }

  private static JsonNode write(Region region) {
    ObjectNode node = MAPPER.createObjectNode();
    putNames(node, "data_centres", region.dataCentres().stream().map(DataCentreId::value).toList());
    return node;
  }

  private static JsonNode write(RouteRollout routeRollout) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("from", routeRollout.from().value());
    node.put("to", routeRollout.to().value());
    node.put("deadline", routeRollout.deadline().toString());
    node.put("first_share", routeRollout.bounds().firstShare());
    node.put("max_failure_rise", routeRollout.bounds().maxFailureRise());
    node.put("max_slowdown", routeRollout.bounds().maxSlowdown());
    return node;
  }

  private static void putNames(ObjectNode node, String field, java.util.Collection<String> names) {
    var array = node.putArray(field);
    names.stream().sorted().forEach(array::add);
  }
}
