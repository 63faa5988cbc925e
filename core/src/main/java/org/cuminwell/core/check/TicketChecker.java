package org.cuminwell.core.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketValidator;
import org.cuminwell.core.ticket.ValidationError;

/**
 * Checks a ticket by itself, without the configuration that it will change.
 *
 * <p>What the ticket refers to and does not define is assumed to be in force, and reported as
 * information. Stateless and thread safe.
 */
public final class TicketChecker {

  private TicketChecker() {}

  /** Returns the errors for which control hosts refuse the ticket whatever is in force. */
  public static List<ValidationError> findErrors(Ticket ticket, Instant now) {
    return TicketValidator.validate(ticket, assumedInForce(ticket.change()), now);
  }

  /** Returns the warnings and information about the entries that the ticket sets. */
  public static List<Finding> check(Ticket ticket) {
    ConfigurationChange change = ticket.change();
    Configuration assumed = assumedInForce(change);
    List<Finding> findings = new ArrayList<>();
    for (Finding finding :
        ConfigurationChecker.checkPart(assumed.apply(Revision.ZERO.next(), change))) {
      if (isSetBy(change, finding.subject())) {
        findings.add(finding);
      }
    }
    addAssumptions(assumed.customers().keySet(), Subject.OfCustomer::new, findings);
    addAssumptions(assumed.routes().keySet(), Subject.OfRoute::new, findings);
    addAssumptions(assumed.regions().keySet(), Subject.OfRegion::new, findings);
    return findings;
  }

  private static <K extends Comparable<K>> void addAssumptions(
      Set<K> ids, Function<K, Subject> subject, List<Finding> findings) {
    for (K id : new TreeSet<>(ids)) {
      findings.add(
          new Finding.Information(
              subject.apply(id),
              Field.ENTRY,
              "the ticket refers to it and does not set it, so it must be in force already"));
    }
  }

  private static boolean isSetBy(ConfigurationChange change, Subject subject) {
    return switch (subject) {
      case Subject.OfCustomer s -> change.customers().containsKey(s.id());
      case Subject.OfRoute s -> change.routes().containsKey(s.id());
      case Subject.OfRegion s -> change.regions().containsKey(s.id());
      case Subject.Whole _, Subject.OfService _, Subject.OfLimits _ -> false;
    };
  }

  /** Returns a configuration with everything that the change refers to and doesn't replace. */
  private static Configuration assumedInForce(ConfigurationChange change) {
    Set<RegionId> regionIds = new HashSet<>();
    Map<CustomerId, Customer> customers = new HashMap<>();
    Map<RouteId, Route> routes = new HashMap<>();
    change.customers().values().stream()
        .flatMap(Optional::stream)
        .forEach(customer -> regionIds.addAll(customer.boundTo()));
    for (Optional<Route> route : change.routes().values()) {
      route.ifPresent(r -> regionIds.addAll(r.boundTo()));
      route
          .flatMap(Route::anonymousCustomer)
          .filter(id -> !change.customers().containsKey(id))
          .ifPresent(
              id -> customers.put(id, new Customer(id, Set.of(), TokenLimit.UNLIMITED, Set.of())));
    }
    for (Optional<RouteRollout> rollout : change.rollouts().values()) {
      rollout
          .map(RouteRollout::route)
          .filter(id -> !change.routes().containsKey(id))
          .ifPresent(id -> routes.put(id, placeholder(id)));
    }
    Map<RegionId, Region> regions = new HashMap<>();
    regionIds.stream()
        .filter(id -> !change.regions().containsKey(id))
        .forEach(id -> regions.put(id, new Region(id, Set.of())));
    return new Configuration(Revision.ZERO, customers, routes, regions, Map.of());
  }

  private static Route placeholder(RouteId id) {
    return new Route(
        id,
        new Service.Plain(id.value(), Set.of()),
        Set.of(),
        Optional.empty(),
        Duration.ofMinutes(1));
  }
}
