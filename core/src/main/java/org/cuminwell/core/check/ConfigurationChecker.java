package org.cuminwell.core.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Route;

/**
 * Finds entries of a readable configuration that can never take effect or contradict each other.
 *
 * <p>Findings are ordered by kind and name of their entries. Not thread safe; each check uses an
 * instance of its own.
 */
public final class ConfigurationChecker {

  private static final int MAX_NAMES = 3;

  private final Configuration configuration;
  private final boolean isWhole;
  private final Map<Set<RegionId>, SortedSet<CustomerId>> customersByRegions;
  private final Set<CustomerId> anonymousCustomers;
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationChecker(Configuration configuration, boolean isWhole) {
    this.configuration = configuration;
    this.isWhole = isWhole;
    customersByRegions =
        configuration.customers().values().stream()
            .collect(
                Collectors.groupingBy(
                    Customer::boundTo,
                    Collectors.mapping(
                        Customer::id,
                        Collectors.<CustomerId, SortedSet<CustomerId>>toCollection(TreeSet::new))));
    anonymousCustomers =
        configuration.routes().values().stream()
            .flatMap(route -> route.anonymousCustomer().stream())
            .collect(Collectors.toSet());
  }

  /**
   * Returns the warnings and information about the configuration.
   *
   * <p>If the configuration names no regions, the regions of the deployment count as unknown and
   * are not checked.
   */
  public static List<Finding> check(Configuration configuration) {
    return new ConfigurationChecker(configuration, true).run();
  }

  /**
   * Returns the warnings and information about a part of a configuration, beside which there may be
   * other customers and routes.
   */
  static List<Finding> checkPart(Configuration configuration) {
    return new ConfigurationChecker(configuration, false).run();
  }

  private List<Finding> run() {
    sorted(configuration.customers()).forEach(this::checkCustomer);
    sorted(configuration.routes()).forEach(this::checkRoute);
    for (ForwardRoute route : sorted(configuration.forwarding().routes())) {
      Subject subject = new Subject.OfRoute(route.id());
      ForwardRouteChecks.check(route, findings);
      checkRegions(subject, route.boundTo());
      if (!route.anonymous()) {
        checkCommonRegions(subject, route.boundTo());
      }
    }
    ServiceChecks.check(configuration.forwarding(), findings);
    sorted(configuration.regions()).forEach(this::checkRegion);
    return findings;
  }

  private static <K extends Comparable<K>, V> Collection<V> sorted(Map<K, V> entries) {
    return new TreeMap<>(entries).values();
  }

  private void checkCustomer(Customer customer) {
    Subject subject = new Subject.OfCustomer(customer.id());
    if (customer.keys().isEmpty() && isWhole && !anonymousCustomers.contains(customer.id())) {
      findings.add(
          new Finding.Warning(
              subject, Field.KEYS, "the customer has no key, so no request can be its own"));
    }
    if (customer.tokensPerPlainCall() > customer.limit().burstTokens()) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.BURST,
              "a plain call is charged "
                  + customer.tokensPerPlainCall()
                  + " tokens, more than the burst of "
                  + customer.limit().burstTokens()
                  + ", so every plain call is refused; set a burst of at least "
                  + customer.tokensPerPlainCall()));
    }
    checkRegions(subject, customer.boundTo());
  }

  private void checkRoute(Route route) {
    Subject subject = new Subject.OfRoute(route.id());
    checkRegions(subject, route.boundTo());
    checkCommonRegions(subject, route.boundTo());
    Customer anonymous =
        route.anonymousCustomer().map(id -> configuration.customers().get(id)).orElse(null);
    if (anonymous != null && areDisjoint(route.boundTo(), anonymous.boundTo())) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.ANONYMOUS,
              "requests without a key run for customer "
                  + anonymous.id()
                  + ", which shares no region with the route, so they are refused"));
    }
  }

  private void checkRegion(Region region) {
    if (region.dataCentres().isEmpty()) {
      findings.add(
          new Finding.Warning(
              new Subject.OfRegion(region.id()),
              Field.DATA_CENTRES,
              "the region has no data centre, so nothing runs in it"));
    }
  }

  private void checkRegions(Subject subject, Set<RegionId> boundTo) {
    if (configuration.regions().isEmpty()) {
      return;
    }
    Set<RegionId> unknown = new TreeSet<>(boundTo);
    unknown.removeAll(configuration.regions().keySet());
    if (!unknown.isEmpty()) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.REGIONS,
              "the deployment has no region "
                  + names(unknown)
                  + "; its regions are "
                  + names(configuration.regions().keySet())));
    }
  }

  /** Finds customers whose requests on a route may run in no region. */
  private void checkCommonRegions(Subject route, Set<RegionId> boundTo) {
    // Only the first names of each group are collected: there may be thousands of customers.
    Set<CustomerId> firstExcluded = new TreeSet<>();
    int excluded = 0;
    for (Map.Entry<Set<RegionId>, SortedSet<CustomerId>> group : customersByRegions.entrySet()) {
      if (areDisjoint(boundTo, group.getKey())) {
        excluded += group.getValue().size();
        group.getValue().stream().limit(MAX_NAMES).forEach(firstExcluded::add);
      }
    }
    if (excluded == 0) {
      return;
    }
    if (isWhole && excluded == configuration.customers().size()) {
      findings.add(
          new Finding.Warning(
              route,
              Field.REGIONS,
              "no customer shares a region with the route, so every request is refused; the route"
                  + " may run in "
                  + names(boundTo)));
    } else {
      findings.add(
          new Finding.Information(
              route,
              Field.REGIONS,
              "requests of customer "
                  + names(firstExcluded, excluded)
                  + " are refused here, since they share no region with the route"));
    }
  }

  /** Returns whether two sets of regions exclude each other; an empty set allows every region. */
  private static boolean areDisjoint(Set<RegionId> one, Set<RegionId> other) {
    return !one.isEmpty() && !other.isEmpty() && Collections.disjoint(one, other);
  }

  private static String names(Collection<?> values) {
    return names(values, values.size());
  }

  /** Returns the first names in order, and how many more of {@code count} there are. */
  private static String names(Collection<?> values, int count) {
    List<String> first = values.stream().map(String::valueOf).sorted().limit(MAX_NAMES).toList();
    String joined = String.join(", ", first);
    return count > first.size() ? joined + " and " + (count - first.size()) + " more" : joined;
  }
}
