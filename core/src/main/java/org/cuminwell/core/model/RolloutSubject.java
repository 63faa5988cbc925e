package org.cuminwell.core.model;

/** Names what a version rollout moves. Immutable and thread safe. */
public sealed interface RolloutSubject {

  /** Names a route that operators move by ticket. */
  record OfRoute(RouteId route) implements RolloutSubject {}

  /** Names a service, with all forwarded routes that lead to it. */
  record OfService(String service) implements RolloutSubject {}
}
