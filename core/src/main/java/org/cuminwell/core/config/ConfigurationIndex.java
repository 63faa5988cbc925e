package org.cuminwell.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Service;

/**
 * Looks up customers by key and routes by model or by host and path, in one configuration.
 *
 * <p>Immutable and thread safe.
 */
public final class ConfigurationIndex {

  private final Configuration configuration;
  private final Map<KeyHash, Customer> customersByKey;
  private final Map<String, Route> routesByModel;
  private final Map<String, List<ForwardRoute>> forwardRoutes;

  private ConfigurationIndex(
      Configuration configuration,
      Map<KeyHash, Customer> customersByKey,
      Map<String, Route> routesByModel,
      Map<String, List<ForwardRoute>> forwardRoutes) {
    this.configuration = configuration;
    this.customersByKey = customersByKey;
    this.routesByModel = routesByModel;
    this.forwardRoutes = forwardRoutes;
  }

  /** Builds the index of {@code configuration}. */
  public static ConfigurationIndex of(Configuration configuration) {
    Map<KeyHash, Customer> byKey = new HashMap<>();
    for (Customer customer : configuration.customers().values()) {
      customer.keys().forEach(key -> byKey.put(key, customer));
    }
    Map<String, Route> byModel = new HashMap<>();
    for (Route route : configuration.routes().values()) {
      if (route.service() instanceof Service.Model model) {
        byModel.put(model.name(), route);
      }
    }
    return new ConfigurationIndex(
        configuration, byKey, byModel, routesByHost(configuration.forwarding()));
  }

  /** Returns the indexed configuration. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the customer that owns the key. */
  public Optional<Customer> customerByKey(KeyHash key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns the route with the id. */
  public Optional<Route> route(RouteId id) {
    return Optional.ofNullable(configuration.routes().get(id));
  }

  /** Returns the route that serves the model. */
  public Optional<Route> routeByModel(String model) {
    return Optional.ofNullable(routesByModel.get(model));
  }

  /** Returns the forwarded route of the host with the longest prefix of the path. */
  public Optional<ForwardRoute> forwardRoute(String host, String path) {
    return forwardRoutes.getOrDefault(host, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Groups the routes by host, longest path prefix first. */
  private static Map<String, List<ForwardRoute>> routesByHost(Forwarding forwarding) {
    Map<String, List<ForwardRoute>> routes = new HashMap<>();
    forwarding.routes().values().stream()
        .sorted(
            Comparator.comparingInt((ForwardRoute route) -> route.pathPrefix().length()).reversed())
        .forEach(route -> routes.computeIfAbsent(route.host(), _ -> new ArrayList<>()).add(route));
    return routes;
  }
}
