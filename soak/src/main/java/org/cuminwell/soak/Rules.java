package org.cuminwell.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Checks a history by the sentences of the rules, from what callers and endpoints saw alone.
 * Stateless and thread safe.
 */
final class Rules {

  /** Statuses by which callers conclude that their request has not run. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  /** The part of the grace period at whose end an endpoint may still be at work. */
  private static final int LAST_PART = 6;

  private Rules() {}

  /** Checks all rules. */
  static List<RuleResult> check(History history) {
    Map<String, List<History.Arrival>> arrivals =
        history.arrivals().stream().collect(Collectors.groupingBy(History.Arrival::id));
    return List.of(
        checkLost(history, arrivals),
        checkBudget(history),
        checkTwice(history, arrivals),
        checkRefused(history, arrivals));
  }

  /** LOST: a request that was read ends without a whole response around a stop of its gateway. */
  private static RuleResult checkLost(
      History history, Map<String, List<History.Arrival>> arrivals) {
    List<RuleResult.Violation> violations = new ArrayList<>();
    long tested = 0;
    for (History.Request request : history.requests()) {
      for (History.Signal stop : history.signals()) {
        boolean concerned =
            stop.name().equals("TERM")
                && stop.process().equals(request.gateway())
                && !request.endedAt().isBefore(stop.at())
                && History.isWithin(request.endedAt(), stop.at(), Bounds.GRACE.plusSeconds(1));
        if (concerned && !isExcused(history, request)) {
          tested++;
          if (isLost(request, stop.at(), arrivals.getOrDefault(request.id(), List.of()))) {
            violations.add(lost(request, stop.at(), arrivals));
          }
        }
      }
    }
    return new RuleResult("LOST", tested, violations);
  }

  /** Returns whether something unplanned happened from shortly before the request to its end. */
  private static boolean isExcused(History history, History.Request request) {
    return history.disruptions().stream()
        .anyMatch(
            disruption ->
                disruption.from().isBefore(request.endedAt())
                    && disruption.to().plus(Bounds.CONTACT).isAfter(request.sentAt()));
  }

  private static boolean isLost(
      History.Request request, Instant stoppedAt, List<History.Arrival> arrivals) {
    if (request.outcome() != History.Outcome.BROKEN_OFF
        || arrivals.stream().anyMatch(History.Arrival::brokeOff)) {
      return false;
    }
    Duration took = Duration.between(request.sentAt(), request.endedAt());
    if (took.compareTo(request.route().timeout()) >= 0) {
      return false;
    }
    Instant lastPart =
        stoppedAt.plus(Bounds.GRACE.multipliedBy(LAST_PART - 1).dividedBy(LAST_PART));
    boolean stillAtWork =
        arrivals.stream().anyMatch(arrival -> arrival.ran() && arrival.endedAt().isAfter(lastPart));
    boolean sentEarly = request.sentAt().isBefore(stoppedAt.plus(Bounds.SENT_BEFORE_KNOWN));
    if (stillAtWork && sentEarly) {
      return false;
    }
    // Nobody knows whether a gateway read what it did not pass on from a new connection.
    return !arrivals.isEmpty() || (request.reused() && took.compareTo(Bounds.LOSS_SLACK) > 0);
  }

  private static RuleResult.Violation lost(
      History.Request request, Instant stoppedAt, Map<String, List<History.Arrival>> arrivals) {
    String runs =
        arrivals.getOrDefault(request.id(), List.of()).stream()
            .map(
                arrival ->
                    arrival.endpoint()
                        + " "
                        + millis(stoppedAt, arrival.at())
                        + ".."
                        + millis(stoppedAt, arrival.endedAt()))
            .collect(Collectors.joining(", "));
    return new RuleResult.Violation(
        "%s %s at %s: sent %d ms, ended %d ms after SIGTERM, status %d, reused %b, runs [%s]"
            .formatted(
                request.id(),
                request.route(),
                request.gateway(),
                millis(stoppedAt, request.sentAt()),
                millis(stoppedAt, request.endedAt()),
                request.status(),
                request.reused(),
                runs),
        Set.of(request.id()));
  }

  private static long millis(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }

  /** BUDGET: in some window a service gets more repeats than its requests allow. */
  private static RuleResult checkBudget(History history) {
    List<RuleResult.Violation> violations = new ArrayList<>();
    long tested = 0;
    double worst = 0;
    for (String service : Stream.of(Route.values()).map(Route::service).distinct().toList()) {
      List<History.Request> asked =
          history.requests().stream()
              .filter(request -> request.route().service().equals(service))
              .toList();
      List<Instant> requests = asked.stream().map(History.Request::sentAt).sorted().toList();
      Set<String> ids = asked.stream().map(History.Request::id).collect(Collectors.toSet());
      List<Instant> repeats = repeats(history, ids);
      tested += repeats.size();
      for (Instant end : repeats) {
        long count = countBefore(repeats, end, Duration.ZERO);
        double allowed = Bounds.RETRY_RATIO * requestsFor(requests, end) + Bounds.RETRY_EXTRA;
        worst = Math.max(worst, count / allowed);
        if (count > allowed) {
          violations.add(
              new RuleResult.Violation(
                  "%s: %d repeats of at most %.0f in the window until %s"
                      .formatted(service, count, allowed, end),
                  Set.of()));
        }
      }
    }
    return new RuleResult(
        "BUDGET", tested, violations, "at most %.2f of what is allowed".formatted(worst));
  }

  /** Returns the times of the arrivals beyond the first of each of the requests. */
  private static List<Instant> repeats(History history, Set<String> requests) {
    Set<String> seen = new HashSet<>();
    return history.arrivals().stream()
        .sorted(Comparator.comparing(History.Arrival::at))
        .filter(arrival -> requests.contains(arrival.id()))
        .filter(arrival -> !seen.add(arrival.id()))
        .map(History.Arrival::at)
        .toList();
  }

  /** Returns the most requests of the window that ends at {@code end} and the two before it. */
  private static long requestsFor(List<Instant> requests, Instant end) {
    Duration window = Bounds.BUDGET_WINDOW;
    return Stream.of(Duration.ZERO, window.dividedBy(2), window)
        .mapToLong(before -> countBefore(requests, end, before))
        .max()
        .orElse(0);
  }

  private static long countBefore(List<Instant> times, Instant end, Duration before) {
    Instant to = end.minus(before);
    Instant from = to.minus(Bounds.BUDGET_WINDOW);
    return times.stream().filter(at -> at.isAfter(from) && !at.isAfter(to)).count();
  }

  /** TWICE: a request that may run once runs more than once. */
  private static RuleResult checkTwice(
      History history, Map<String, List<History.Arrival>> arrivals) {
    List<History.Request> once = unrepeatable(history);
    return new RuleResult(
        "TWICE",
        once.size(),
        once.stream()
            .filter(request -> countRuns(arrivals, request) > 1)
            .map(request -> violation(request, "ran more than once"))
            .toList());
  }

  /** REFUSED: a request that may run once is refused and has run. */
  private static RuleResult checkRefused(
      History history, Map<String, List<History.Arrival>> arrivals) {
    List<History.Request> refused =
        unrepeatable(history).stream()
            .filter(request -> REFUSALS.contains(request.status()))
            .toList();
    return new RuleResult(
        "REFUSED",
        refused.size(),
        refused.stream()
            .filter(request -> countRuns(arrivals, request) > 0)
            .map(request -> violation(request, "was refused and has run"))
            .toList());
  }

  private static List<History.Request> unrepeatable(History history) {
    return history.requests().stream().filter(r -> !r.route().isRepeatable()).toList();
  }

  private static long countRuns(
      Map<String, List<History.Arrival>> arrivals, History.Request request) {
    return arrivals.getOrDefault(request.id(), List.of()).stream()
        .filter(History.Arrival::ran)
        .count();
  }

  private static RuleResult.Violation violation(History.Request request, String what) {
    return new RuleResult.Violation(
        request.id() + " " + request.route() + " at " + request.gateway() + " " + what,
        Set.of(request.id()));
  }
}
