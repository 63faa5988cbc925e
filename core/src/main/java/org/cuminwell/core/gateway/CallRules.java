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
 * Applies the configuration in force to calls: which route and customer they have, and whether they
 * may be read here.
 *
 * <p>Holds no state of its own. Not thread safe: the gateway's decide thread owns it.
 */
final class CallRules {

  private final Place here;
  private final ConfigurationHolder configuration;

  CallRules(Place here, ConfigurationHolder configuration) {
    this.here = here;
    this.configuration = configuration;
  }

  /** Returns why the call is refused by its head, if it is. */
  Optional<Failure> refusal(CallHead head) {
    Optional<Route> route = routeOf(head.target());
    if (namesRoute(head.target()) && route.isEmpty()) {
      return Optional.of(Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "there is no such route"));
    }
    Optional<Customer> customer = customerOf(head);
    if (customer.isEmpty()) {
      return Optional.of(keyFailure(head.key()));
    }
    Residency residency = Residency.of(customer.get()).and(readableFor(route));
    return residency.allows(here.region()) ? Optional.empty() : Optional.of(wrongRegion(residency));
  }

  /** Returns the route of a call whose body has come. */
  Optional<Route> routeOf(CallHead.Target target, CallBody body) {
    return switch (body) {
      case CallBody.Completion c -> {
        Optional<Route> byModel = configuration.index().routeByModel(c.model());
        Optional<Route> byHeader = routeOf(target);
        yield namesRoute(target) ? byHeader.filter(r -> byModel.equals(byHeader)) : byModel;
      }
      case CallBody.Plain p -> routeOf(target);
    };
  }

  /** Returns the customer that a call runs for. */
  Optional<Customer> customerOf(CallHead head) {
    ConfigurationIndex index = configuration.index();
    return head.key()
        .map(index::customerByKey)
        .orElseGet(
            () ->
                routeOf(head.target())
                    .flatMap(Route::anonymousCustomer)
                    .map(id -> index.configuration().customers().get(id)));
  }

  /** Returns the failure of a call without a key that works. */
  static Failure keyFailure(Optional<KeyHash> key) {
    return key.isPresent()
        ? Failure.notRun(ErrorCode.INVALID_KEY, "the key does not work; ask for a new one")
        : Failure.notRun(
            ErrorCode.MISSING_KEY, "send the key in the header 'Authorization: Bearer KEY'");
  }

  /** Returns the failure of a call that may not run in this region. */
  static Failure wrongRegion(Residency residency) {
    String regions =
        residency.allowedRegions().stream()
            .flatMap(r -> r.stream())
            .sorted()
            .map(Object::toString)
            .reduce((a, b) -> a + ", " + b)
            .orElse("none");
    return Failure.notRun(
        ErrorCode.WRONG_REGION,
        "this request is bound to region "
            + regions
            + "; ask GET /v1/entry-hosts?route=ROUTE, and for completions name the route in the"
            + " header Cuminwell-Route");
  }

  /**
   * Returns where the body may be read. While the route is unknown, every model route counts, so
   * that a bound body is never read in the wrong region.
   */
  private Residency readableFor(Optional<Route> route) {
    if (route.isPresent()) {
      return Residency.of(route.get().boundTo());
    }
    return configuration.index().configuration().routes().values().stream()
        .filter(r -> r.service() instanceof Service.Model)
        .map(r -> Residency.of(r.boundTo()))
        .reduce(new Residency.Unbound(), Residency::and);
  }

  private Optional<Route> routeOf(CallHead.Target target) {
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
