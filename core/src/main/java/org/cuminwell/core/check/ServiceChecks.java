package org.cuminwell.core.check;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;

/** Checks services and the limits on callers. Stateless and thread safe. */
final class ServiceChecks {

  private ServiceChecks() {}

  static void check(Forwarding forwarding, List<Finding> findings) {
    Set<String> used =
        forwarding.routes().values().stream()
            .flatMap(route -> route.split().stream())
            .map(ForwardRoute.WeightedService::service)
            .collect(Collectors.toSet());
    for (ForwardService service : new TreeMap<>(forwarding.services()).values()) {
      checkService(service, used.contains(service.name()), findings);
    }
    checkLimits(forwarding.limits(), findings);
  }

  private static void checkService(ForwardService service, boolean used, List<Finding> findings) {
    Subject subject = new Subject.OfService(service.name());
    if (!used) {
      findings.add(
          new Finding.Warning(
              subject, Field.ENTRY, "no route leads to the service, so it gets no requests"));
    }
    if (service.maxConnections() < 1) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.CONNECTIONS,
              "a limit of "
                  + service.maxConnections()
                  + " connections allows no request; set at least 1"));
    }
    if (service.slowStartPeriod().isPositive() && !(service.slowStartRequestsPerSecond() > 0)) {
      findings.add(
          new Finding.Information(
              subject,
              Field.SLOW_START,
              "the slow start has no rate above 0, so the rate of requests in it is not limited"));
    }
  }

  private static void checkLimits(CallerLimits limits, List<Finding> findings) {
    checkPositive(Field.HEADER_BYTES, limits.maxHeaderBytes(), findings);
    checkPositive(Field.HEADER_TIMEOUT, limits.headerTimeout().toMillis(), findings);
    checkPositive(Field.IDLE_TIMEOUT, limits.idleTimeout().toMillis(), findings);
    // A limit of 0 bytes still lets requests without a body through.
    checkAtLeast(0, Field.BODY_BYTES, limits.maxBodyBytes(), findings);
  }

  private static void checkPositive(Field field, long value, List<Finding> findings) {
    checkAtLeast(1, field, value, findings);
  }

  private static void checkAtLeast(long min, Field field, long value, List<Finding> findings) {
    if (value < min) {
      findings.add(
          new Finding.Warning(
              new Subject.OfLimits(),
              field,
              "no request keeps to a limit of "
                  + value
                  + " on "
                  + field.label()
                  + "; set at least "
                  + min));
    }
  }
}
