package org.cuminwell.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps what callers and endpoints saw and what was done to the processes.
 *
 * <p>Times are of one clock of this process. Thread safe.
 */
final class History {

  /** Says how a request of a caller ended. */
  enum Outcome {
    /** A whole response arrived, of whatever status. */
    WHOLE,
    /** The connection ended before a whole response, after the request was sent. */
    BROKEN_OFF,
    /** The request could not be sent. */
    NOT_SENT,
    /** The caller gave up at its deadline. */
    TIMED_OUT
  }

  /**
   * Describes a request of a caller.
   *
   * @param status the status of the response; 0 if none arrived
   * @param reused whether it was sent over a connection that had carried another one
   */
  record Request(
      String id,
      Route route,
      String gateway,
      Instant sentAt,
      Instant endedAt,
      Outcome outcome,
      int status,
      boolean reused) {}

  /**
   * Describes the arrival of a request at an endpoint.
   *
   * @param ran whether the endpoint began to work on it
   * @param brokeOff whether the endpoint ended its response early
   */
  record Arrival(
      String id, String endpoint, Instant at, Instant endedAt, boolean ran, boolean brokeOff) {}

  /** Describes a signal that was sent to a process. */
  record Signal(String process, String name, Instant at) {}

  /** Describes a time in which something happened that nobody had planned. */
  record Disruption(Instant from, Instant to) {}

  private final List<Request> requests = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Signal> signals = new ArrayList<>();
  private final List<Disruption> disruptions = new ArrayList<>();

  synchronized void add(Request request) {
    requests.add(request);
  }

  synchronized void add(Arrival arrival) {
    arrivals.add(arrival);
  }

  synchronized void add(Signal signal) {
    signals.add(signal);
  }

  synchronized void add(Disruption disruption) {
    disruptions.add(disruption);
  }

  synchronized List<Request> requests() {
    return List.copyOf(requests);
  }

  synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  synchronized List<Signal> signals() {
    return List.copyOf(signals);
  }

  synchronized List<Disruption> disruptions() {
    return List.copyOf(disruptions);
  }

  /**
   * Returns whether {@code at} lies in the time of the given length that starts at {@code start}.
   */
  static boolean isWithin(Instant at, Instant start, Duration length) {
    return !at.isBefore(start) && at.isBefore(start.plus(length));
  }
}
