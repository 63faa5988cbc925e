package org.cuminwell.core.model;

import java.util.Set;

/** Describes the service that a route leads to. Immutable and thread safe. */
public sealed interface Service {

  /** Returns the name that endpoints announce for this service. */
  String name();

  /** Serves completions of one model. A completion may run more than once without harm. */
  record Model(String name) implements Service {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if it is not a name
     */
    public Model {
      Names.requireName(name, "model");
    }
  }

  /**
   * Serves plain HTTP calls.
   *
   * @param idempotentMethods the HTTP methods whose calls are idempotent; a call with any other
   *     method runs at most once
   */
  record Plain(String name, Set<String> idempotentMethods) implements Service {
    /**
     * Checks the name and copies the set.
     *
     * @throws IllegalArgumentException if {@code name} is not a valid name
     */
    public Plain {
      Names.requireName(name, "service");
      idempotentMethods = Set.copyOf(idempotentMethods);
    }
  }
}
