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
 * Validates tickets and reports all errors at once, so that an operator can fix them together.
 *
 * <p>Validates the configuration that would result from the ticket, so a ticket may refer to things
 * that it adds itself. Stateless and thread safe.
 */
public final class TicketValidator {

  private TicketValidator() {}

  /** Returns the errors of {@code ticket} against {@code current}; empty if it may be accepted. */
  public static List<ValidationError> validate(Ticket ticket, Configuration current, Instant now) {
    if (ticket.change().isEmpty()) {
      return List.of(new ValidationError("", "the ticket changes nothing; add what it should set"));
    }
    Configuration after = current.apply(current.revision().next(), ticket.change());
    List<ValidationError> errors = new ArrayList<>();
    checkKeys(after, errors);
    checkModels(after, errors);
    checkDataCentres(after, errors);
    after.customers().values().forEach(customer -> checkCustomer(customer, after, errors));
    after.routes().values().forEach(route -> checkRoute(route, after, errors));
    after
        .rollouts()
        .values()
        .forEach(routeRollout -> checkRolloutRoute(routeRollout, after, errors));
    ticket.change().rollouts().values().stream()
        .flatMap(routeRollout -> routeRollout.stream())
        .forEach(routeRollout -> checkDeadline(routeRollout, now, errors));
    return errors;
  }

  private static void checkKeys(Configuration after, List<ValidationError> errors) {
    Map<KeyHash, CustomerId> owners = new HashMap<>();
    for (Customer customer : after.customers().values()) {
      for (KeyHash key : customer.keys()) {
        CustomerId other = owners.putIfAbsent(key, customer.id());
        if (other != null) {
          errors.add(
              new ValidationError(
                  "customers." + customer.id() + ".keys",
                  "key "
                      + key
                      + " also belongs to customer "
                      + other
                      + "; give each customer its own keys"));
        }
      }
    }
  }

  private static void checkModels(Configuration after, List<ValidationError> errors) {
    Map<String, RouteId> routes = new HashMap<>();
    for (Route route : after.routes().values()) {
      if (route.service() instanceof Service.Model model) {
        RouteId other = routes.putIfAbsent(model.name(), route.id());
        if (other != null) {
          errors.add(
              new ValidationError(
                  "routes." + route.id() + ".model",
                  "model " + model.name() + " already has route " + other));
        }
      }
    }
  }

  private static void checkDataCentres(Configuration after, List<ValidationError> errors) {
    Map<DataCentreId, RegionId> regions = new HashMap<>();
    for (Region region : after.regions().values()) {
      for (DataCentreId dataCentre : region.dataCentres()) {
        RegionId other = regions.putIfAbsent(dataCentre, region.id());
        if (other != null) {
          errors.add(
              new ValidationError(
                  "regions." + region.id() + ".data_centres",
                  "data centre " + dataCentre + " is already in region " + other));
        }
      }
    }
  }

  private static void checkCustomer(
      Customer customer, Configuration after, List<ValidationError> errors) {
    checkRegions("customers." + customer.id() + ".bound_to", customer.boundTo(), after, errors);
  }

  private static void checkRoute(Route route, Configuration after, List<ValidationError> errors) {
    String path = "routes." + route.id();
    checkRegions(path + ".bound_to", route.boundTo(), after, errors);
    route
        .anonymousCustomer()
        .filter(customer -> !after.customers().containsKey(customer))
        .ifPresent(
            customer ->
                errors.add(
                    new ValidationError(
                        path + ".open_as", "customer " + customer + " does not exist")));
  }

  private static void checkRegions(
      String path, Set<RegionId> regions, Configuration after, List<ValidationError> errors) {
    regions.stream()
        .filter(region -> !after.regions().containsKey(region))
        .sorted()
        .forEach(
            region ->
                errors.add(new ValidationError(path, "region " + region + " does not exist")));
  }

  private static void checkRolloutRoute(
      RouteRollout routeRollout, Configuration after, List<ValidationError> errors) {
    if (!after.routes().containsKey(routeRollout.route())) {
      errors.add(
          new ValidationError(
              "rollouts." + routeRollout.route() + ".route",
              "route " + routeRollout.route() + " does not exist"));
    }
  }

  private static void checkDeadline(
      RouteRollout routeRollout, Instant now, List<ValidationError> errors) {
    if (!routeRollout.deadline().isAfter(now)) {
      errors.add(
          new ValidationError(
              "rollouts." + routeRollout.route() + ".deadline",
              "the deadline " + routeRollout.deadline() + " has passed; name a later one"));
    }
  }
}
