package org.cuminwell.core.config;

import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.rollout.ServiceRolloutState;

/**
 * Estimates the memory that configurations and changes hold, so that what keeps many of them can be
 * bounded in bytes.
 *
 * <p>The estimates follow from the number of items, their collections and their texts of unbounded
 * length. Stateless and thread safe.
 */
public final class ConfigurationSize {

  /** The memory of one item with its map entry, in bytes, apart from its collections. */
  private static final long ITEM_BYTES = 512;

  /** The memory of one element of an item's collections, in bytes. */
  private static final long ELEMENT_BYTES = 128;

  private ConfigurationSize() {}

  /** Returns the estimated memory of a configuration, in bytes. */
  public static long bytesOf(Configuration configuration) {
    Forwarding forwarding = configuration.forwarding();
    return ITEM_BYTES
        + sum(configuration.customers(), ConfigurationSize::bytesOf)
        + sum(configuration.routes(), ConfigurationSize::bytesOf)
        + sum(configuration.regions(), ConfigurationSize::bytesOf)
        + sum(configuration.rollouts(), rollout -> 0)
        + sum(forwarding.routes(), ConfigurationSize::bytesOf)
        + sum(forwarding.services(), ConfigurationSize::bytesOf)
        + sum(forwarding.serviceRollouts(), ConfigurationSize::bytesOf)
        + ELEMENT_BYTES * forwarding.evacuated().size();
  }

  /** Returns the estimated memory of a change, in bytes. */
  public static long bytesOf(ConfigurationChange change) {
    Forwarding.Change forwarding = change.forwarding();
    return ITEM_BYTES
        + sumOfChanges(change.customers(), ConfigurationSize::bytesOf)
        + sumOfChanges(change.routes(), ConfigurationSize::bytesOf)
        + sumOfChanges(change.regions(), ConfigurationSize::bytesOf)
        + sumOfChanges(change.rollouts(), rollout -> 0)
        + sumOfChanges(forwarding.routes(), ConfigurationSize::bytesOf)
        + sumOfChanges(forwarding.services(), ConfigurationSize::bytesOf)
        + sumOfChanges(forwarding.serviceRollouts(), ConfigurationSize::bytesOf)
        + ELEMENT_BYTES * forwarding.evacuated().map(set -> set.size()).orElse(0);
  }

  private static <V> long sum(Map<?, V> items, ToLongFunction<V> collectionBytes) {
    return ITEM_BYTES * items.size() + items.values().stream().mapToLong(collectionBytes).sum();
  }

  private static <V> long sumOfChanges(
      Map<?, Optional<V>> changes, ToLongFunction<V> collectionBytes) {
    return ITEM_BYTES * changes.size()
        + changes.values().stream().flatMap(Optional::stream).mapToLong(collectionBytes).sum();
  }

  private static long bytesOf(Customer customer) {
    return ELEMENT_BYTES * (customer.keys().size() + customer.boundTo().size());
  }

  private static long bytesOf(Route route) {
    return ELEMENT_BYTES * route.boundTo().size();
  }

  private static long bytesOf(Region region) {
    return ELEMENT_BYTES * region.dataCentres().size();
  }

  private static long bytesOf(ForwardRoute route) {
    return textBytes(route.host())
        + textBytes(route.pathPrefix())
        + ELEMENT_BYTES * (route.split().size() + route.boundTo().size());
  }

  private static long bytesOf(ForwardService service) {
    return textBytes(service.healthPath());
  }

  private static long bytesOf(ServiceRolloutState rollouts) {
    return ITEM_BYTES + ELEMENT_BYTES * rollouts.barred().size();
  }

  private static long textBytes(String text) {
    return (long) Character.BYTES * text.length();
  }
}
