package org.cuminwell.core.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardRoute.WeightedService;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RouteId;

/** Makes configurations of many routes. Stateless and thread safe. */
public final class LargeConfigurations {

  /** The length of the text that a document has for each route, in bytes. */
  private static final int TEXT_BYTES_PER_ROUTE = 240;

  private static final ForwardService SERVICE =
      new ForwardService("app", "/health", 10, Duration.ZERO, 0);

  private LargeConfigurations() {}

  /** Returns a document of this version with a text as long as that of {@code routes} routes. */
  public static ConfigurationDocument document(long version, int routes) {
    return new ConfigurationDocument(
        version, Bytes.copyOf(new byte[routes * TEXT_BYTES_PER_ROUTE]));
  }

  /** Returns the content of a document; all of its routes differ from those of other versions. */
  public static Configuration content(long version, int routes) {
    Map<RouteId, ForwardRoute> all =
        IntStream.range(0, routes)
            .mapToObj(number -> route(number, version))
            .collect(Collectors.toMap(ForwardRoute::id, Function.identity()));
    Forwarding forwarding =
        new Forwarding(all, Map.of(SERVICE.name(), SERVICE), CallerLimits.DEFAULT, Set.of());
    return new Configuration(Revision.ZERO, Map.of(), Map.of(), Map.of(), Map.of(), forwarding);
  }

  private static ForwardRoute route(int number, long version) {
    return new ForwardRoute(
        new RouteId("route" + number),
        "host.example",
        "/r" + number + "/",
        new RetrySemantics.Idempotent(),
        Duration.ofMillis(5_000 + version),
        Duration.ofMillis(300),
        0,
        List.of(new WeightedService(SERVICE.name(), 1)),
        2,
        false,
        false,
        Set.of());
  }
}
