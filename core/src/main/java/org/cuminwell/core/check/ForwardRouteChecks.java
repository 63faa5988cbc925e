package org.cuminwell.core.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.model.ForwardRoute;

/** Checks a forwarded route by itself. Stateless and thread safe. */
final class ForwardRouteChecks {

  private ForwardRouteChecks() {}

  static void check(ForwardRoute route, List<Finding> findings) {
    Subject subject = new Subject.OfRoute(route.id());
    checkPlace(subject, route, findings);
    checkSplit(subject, route, findings);
    if (route.timeout().compareTo(route.latencyTarget()) < 0) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.TIMEOUT,
              "the timeout of "
                  + route.timeout().toMillis()
                  + " ms is below the latency target of "
                  + route.latencyTarget().toMillis()
                  + " ms, so requests end before the target; set a timeout of at least the"
                  + " target"));
    }
    if (!route.latencyTarget().isPositive()) {
      findings.add(
          new Finding.Warning(
              subject, Field.LATENCY_TARGET, "no response can meet a latency target of 0 ms"));
    }
    if (route.maxAttempts() > ForwardBounds.MAX_ATTEMPTS) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.ATTEMPTS,
              "gateways make at most "
                  + ForwardBounds.MAX_ATTEMPTS
                  + " attempts of a request; found "
                  + route.maxAttempts()));
    }
    if (route.maxAttempts() > 1 && !route.retrySemantics().allowsRetry()) {
      findings.add(
          new Finding.Information(
              subject,
              Field.ATTEMPTS,
              "requests of this route run at most once, so they are only sent again if they have"
                  + " certainly not run"));
    }
  }

  /** Checks whether a request can carry the host and path: gateways compare a host without port. */
  private static void checkPlace(Subject subject, ForwardRoute route, List<Finding> findings) {
    if (route.host().chars().anyMatch(c -> c == ':' || c == '/' || c <= ' ')) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.HOST,
              "no request matches the host '"
                  + route.host()
                  + "': it is compared without port; give a host name only"));
    }
    if (route.pathPrefix().chars().anyMatch(c -> c == '?' || c == '#' || c <= ' ' || c > '~')) {
      findings.add(
          new Finding.Warning(
              subject,
              Field.PATH_PREFIX,
              "no request matches the prefix '"
                  + route.pathPrefix()
                  + "': it is compared with the path as sent, which is"
                  + " ASCII without space, '?' and '#'; percent-encode it"));
    }
  }

  private static void checkSplit(Subject subject, ForwardRoute route, List<Finding> findings) {
    Set<String> services = new HashSet<>();
    for (ForwardRoute.WeightedService part : route.split()) {
      if (part.weight() == 0) {
        findings.add(
            new Finding.Warning(
                subject,
                Field.SERVICES,
                "service " + part.service() + " has weight 0 and gets no request of this route"));
      }
      if (!services.add(part.service())) {
        findings.add(
            new Finding.Warning(
                subject, Field.SERVICES, "service " + part.service() + " stands twice"));
      }
    }
  }
}
