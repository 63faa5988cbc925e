package org.cuminwell.core.model;

/**
 * Identifies the route or service that a rollout moves to another version. Immutable and thread
 * safe.
 */
public sealed interface RolloutSubject {

  /** Identifies a route whose rollout was requested by ticket. */
  record OfRoute(RouteId route) implements RolloutSubject {}

  /** Identifies a service, and with it all forwarded routes that lead to it. */
  record OfService(String service) implements RolloutSubject {}
}
