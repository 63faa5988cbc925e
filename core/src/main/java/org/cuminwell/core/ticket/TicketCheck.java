package org.cuminwell.core.ticket;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Service;

/**
 * Finds every fault of a ticket at once, so that an operator mends them in one go.
 *
 * <p>The check reads the configuration as the ticket would leave it, so a ticket may name things
 * that it brings itself. Stateless and thread safe.
 */
public final class TicketCheck {

  private TicketCheck() {}

  /** Returns the faults of {@code ticket} against {@code current}; empty if it may be accepted. */
  public static List<ValidationError> faults(Ticket ticket, Configuration current, Instant now) {
    if (ticket.change().isEmpty()) {
      return List.of(
          new ValidationError("", "the ticket changes nothing; name what it should set"));
    }
    Configuration after = current.apply(current.revision().next(), ticket.change());
    List<ValidationError> faults = new ArrayList<>();
    checkKeys(after, faults);
    checkModels(after, faults);
    checkDataCentres(after, faults);
    after.customers().values().forEach(customer -> checkCustomer(customer, after, faults));
    after.routes().values().forEach(route -> checkRoute(route, after, faults));
    after
        .rollouts()
        .values()
        .forEach(routeRollout -> checkRolloutRoute(routeRollout, after, faults));
    ticket.change().rollouts().values().stream()
        .flatMap(routeRollout -> routeRollout.stream())
        .forEach(routeRollout -> checkDeadline(routeRollout, now, faults));
    return faults;
  }

  private static void checkKeys(Configuration after, List<ValidationError> faults) {
    Map<KeyHash, CustomerId> holders = new HashMap<>();
    for (Customer customer : after.customers().values()) {
      for (KeyHash key : customer.keys()) {
        CustomerId other = holders.putIfAbsent(key, customer.id());
        if (other != null) {
          faults.add(
              new ValidationError(
                  "customers." + customer.id() + ".keys",
                  "key " + key + " is given to " + other + " too; give each customer its own"));
        }
      }
    }
  }

  private static void checkModels(Configuration after, List<ValidationError> faults) {
    Map<String, RouteId> routes = new HashMap<>();
    for (Route route : after.routes().values()) {
      if (route.service() instanceof Service.Model model) {
        RouteId other = routes.putIfAbsent(model.name(), route.id());
        if (other != null) {
          faults.add(
              new ValidationError(
                  "routes." + route.id() + ".model",
                  "model " + model.name() + " has route " + other + " already"));
        }
      }
    }
  }

  private static void checkDataCentres(Configuration after, List<ValidationError> faults) {
    Map<DataCentreId, RegionId> regions = new HashMap<>();
    for (Region region : after.regions().values()) {
      for (DataCentreId dataCentre : region.dataCentres()) {
        RegionId other = regions.putIfAbsent(dataCentre, region.id());
        if (other != null) {
          faults.add(
              new ValidationError(
                  "regions." + region.id() + ".data_centres",
                  "data centre " + dataCentre + " is in region " + other + " already"));
        }
      }
    }
  }

  private static void checkCustomer(
      Customer customer, Configuration after, List<ValidationError> faults) {
    checkRegions("customers." + customer.id() + ".bound_to", customer.boundTo(), after, faults);
  }

  private static void checkRoute(Route route, Configuration after, List<ValidationError> faults) {
    String path = "routes." + route.id();
    checkRegions(path + ".bound_to", route.boundTo(), after, faults);
    route
        .anonymousCustomer()
        .filter(customer -> !after.customers().containsKey(customer))
        .ifPresent(
            customer ->
                faults.add(
                    new ValidationError(path + ".open_as", "there is no customer " + customer)));
  }

  private static void checkRegions(
      String path, Set<RegionId> regions, Configuration after, List<ValidationError> faults) {
    regions.stream()
        .filter(region -> !after.regions().containsKey(region))
        .sorted()
        .forEach(region -> faults.add(new ValidationError(path, "there is no region " + region)));
  }

  private static void checkRolloutRoute(
      RouteRollout routeRollout, Configuration after, List<ValidationError> faults) {
    if (!after.routes().containsKey(routeRollout.route())) {
      faults.add(
          new ValidationError(
              "rollouts." + routeRollout.route() + ".route",
              "there is no route " + routeRollout.route()));
    }
  }

  private static void checkDeadline(
      RouteRollout routeRollout, Instant now, List<ValidationError> faults) {
    if (!routeRollout.deadline().isAfter(now)) {
      faults.add(
          new ValidationError(
              "rollouts." + routeRollout.route() + ".deadline",
              "the deadline " + routeRollout.deadline() + " has passed; name a later one"));
    }
  }
}
