package org.cuminwell.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Service;

/**
 * Finds customers by key and routes by model in one configuration.
 *
 * <p>Immutable and thread safe.
 */
public final class ConfigurationIndex {

  private final Configuration configuration;
  private final Map<KeyHash, Customer> customersByKey;
  private final Map<String, Route> routesByModel;

  private ConfigurationIndex(
      Configuration configuration,
      Map<KeyHash, Customer> customersByKey,
      Map<String, Route> routesByModel) {
    this.configuration = configuration;
    this.customersByKey = customersByKey;
    this.routesByModel = routesByModel;
  }

  /** Returns an index of {@code configuration}. */
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
    return new ConfigurationIndex(configuration, byKey, byModel);
  }

  /** Returns the configuration that this index was made of. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the customer that holds the key. */
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
}
