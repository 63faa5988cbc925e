package org.cuminwell.core.model;

/** Names what a version move moves. Immutable and thread safe. */
public sealed interface MoveSubject {

  /** Names a route that operators move by ticket. */
  record OfRoute(RouteId route) implements MoveSubject {}

  /** Names a service, with all forwarded routes that lead to it. */
  record OfService(String service) implements MoveSubject {}
}
