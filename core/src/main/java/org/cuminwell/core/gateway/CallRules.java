package org.cuminwell.core.gateway;

import java.util.Optional;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.distribution.ConfigurationHolder;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.residency.Residency;

/**
 * Applies the configuration in force to calls: finds their route and customer, and decides whether
 * their body may be read in this region.
 *
 * <p>Holds no state of its own. Not thread safe: the thread of its {@link Gateway} owns it.
 */
final class CallRules {

  private final Place localPlace;
  private final ConfigurationHolder configuration;

  CallRules(Place localPlace, ConfigurationHolder configuration) {
    this.localPlace = localPlace;
    this.configuration = configuration;
  }

  /**
   * Returns why the call is refused before its body is read: its route or key is unknown, its key
   * is missing, or its body may not be read in this region. Empty if the body may be read.
   */
  Optional<Failure> findRefusal(CallHead head) {
    Optional<Route> route = findRoute(head.target());
    if (namesRoute(head.target()) && route.isEmpty()) {
      return Optional.of(Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "there is no such route"));
    }
    Optional<Customer> customer = findCustomer(head);
    if (customer.isEmpty()) {
      return Optional.of(invalidKeyFailure(head.key()));
    }
    Residency residency = Residency.of(customer.get()).and(residencyOfUnreadBody(route));
    return residency.allows(localPlace.region())
        ? Optional.empty()
        : Optional.of(wrongRegionFailure(residency));
  }

  /**
   * Returns the route of a call whose body has arrived. Empty if there is none, or if a completion
   * names a route that is not the route of the model in its body.
   */
  Optional<Route> findRoute(CallHead.Target target, CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> {
        Optional<Route> byModel = configuration.index().routeByModel(c.model());
        Optional<Route> byHeader = findRoute(target);
        yield namesRoute(target) ? byHeader.filter(r -> byModel.equals(byHeader)) : byModel;
      }
      case CallBody.Plain p -> findRoute(target);
    };
  }

  /**
   * Returns the customer that a call runs for: the owner of its key or, without a key, the
   * anonymous customer of the route that its target names. Empty if the key is unknown, or if there
   * is neither a key nor an anonymous customer.
   */
  Optional<Customer> findCustomer(CallHead head) {
    ConfigurationIndex index = configuration.index();
    return head.key()
        .map(index::customerByKey)
        .orElseGet(
            () ->
                findRoute(head.target())
                    .flatMap(Route::anonymousCustomer)
                    .map(id -> index.configuration().customers().get(id)));
  }

  /** Returns the failure of a call without a valid key. */
  static Failure invalidKeyFailure(Optional<KeyHash> key) {
    return key.isPresent()
        ? Failure.notRun(
            ErrorCode.INVALID_KEY, "the key is unknown or was withdrawn; use a valid key")
        : Failure.notRun(
            ErrorCode.MISSING_KEY, "send the key in the header 'Authorization: Bearer KEY'");
  }

  /** Returns the failure of a call that may not run in this region. */
  static Failure wrongRegionFailure(Residency residency) {
    String regions =
        residency.allowedRegions().stream()
            .flatMap(r -> r.stream())
            .sorted()
            .map(Object::toString)
            .reduce((a, b) -> a + ", " + b)
            .orElse("none");
    return Failure.notRun(
        ErrorCode.WRONG_REGION,
        "this request may only run in regions: "
            + regions
            + "; call GET /v1/entry-hosts?route=ROUTE to find an entry host, and for completions"
            + " name the route in the header Cuminwell-Route");
  }

  /**
   * Returns in which regions the body may be read. While the route is unknown, the restrictions of
   * all model routes apply, so that a body with residency is never read in the wrong region.
   */
  private Residency residencyOfUnreadBody(Optional<Route> route) {
    if (route.isPresent()) {
      return Residency.of(route.get().boundTo());
    }
    return configuration.index().configuration().routes().values().stream()
        .filter(r -> r.service() instanceof Service.Model)
        .map(r -> Residency.of(r.boundTo()))
        .reduce(new Residency.Unbound(), Residency::and);
  }

  private Optional<Route> findRoute(CallHead.Target target) {
    ConfigurationIndex index = configuration.index();
    return switch (target) {
      case CallHead.Target.Completion c ->
          c.route().flatMap(index::route).filter(r -> r.service() instanceof Service.Model);
      case CallHead.Target.Plain p ->
          index.route(p.route()).filter(r -> r.service() instanceof Service.Plain);
    };
  }

  private static boolean namesRoute(CallHead.Target target) {
    return switch (target) {
      case CallHead.Target.Completion c -> c.route().isPresent();
      case CallHead.Target.Plain p -> true;
    };
  }
}
