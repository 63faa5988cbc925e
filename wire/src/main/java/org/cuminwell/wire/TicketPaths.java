package org.cuminwell.wire;

import org.cuminwell.core.check.Field;
import org.cuminwell.core.check.Subject;

/** Names the paths of entries and fields in tickets. Stateless and thread safe. */
public final class TicketPaths {

  private TicketPaths() {}

  /** Returns the path of the field, such as {@code routes.chat.timeout_ms}. */
  public static String of(Subject subject, Field field) {
    String entry =
        switch (subject) {
          case Subject.Whole _ -> "";
          case Subject.OfCustomer s -> "customers." + s.name();
          case Subject.OfRoute s -> "routes." + s.name();
          case Subject.OfService s -> "services." + s.name();
          case Subject.OfRegion s -> "regions." + s.name();
          case Subject.OfLimits _ -> "limits";
        };
    return field == Field.ENTRY ? entry : entry + "." + name(field);
  }

  private static String name(Field field) {
    return switch (field) {
      case KEYS -> "keys";
      case RATE -> "tokens_per_second";
      case BURST -> "burst_tokens";
      case REGIONS -> "bound_to";
      case TIMEOUT -> "timeout_ms";
      case DATA_CENTRES -> "data_centres";
      case ANONYMOUS -> "open_as";
      case ENTRY,
          VERSION,
          PLAIN_TOKENS,
          PRIORITY,
          HOST,
          PATH_PREFIX,
          RETRY_SEMANTICS,
          LATENCY_TARGET,
          SERVICES,
          ATTEMPTS,
          PROMPT_CACHE,
          HEALTH_PATH,
          CONNECTIONS,
          SLOW_START,
          HEADER_BYTES,
          BODY_BYTES,
          HEADER_TIMEOUT,
          IDLE_TIMEOUT ->
          field.label().replace(' ', '_');
    };
  }
}
