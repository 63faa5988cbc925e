package org.cuminwell.core.routing;

import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.model.EndpointId;

/**
 * Holds the properties of a request that the selection of its endpoint depends on. Immutable and
 * thread safe.
 *
 * @param prefix a hash of the first part of the prompt; empty if there is no cache to hit
 * @param attempted endpoints at which this request has already failed
 */
public record RouteQuery(OptionalLong prefix, Set<EndpointId> attempted) {

  /** Copies the set. */
  public RouteQuery {
    attempted = Set.copyOf(attempted);
  }
}
