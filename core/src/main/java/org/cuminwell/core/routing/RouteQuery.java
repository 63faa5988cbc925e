package org.cuminwell.core.routing;

import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.model.EndpointId;

/**
 * Says what matters of a request when its endpoint is chosen. Immutable and thread safe.
 *
 * @param prefix a hash of the first part of the prompt, empty where there is no cache to hit
 * @param attempted endpoints that this request has failed at already
 */
public record RouteQuery(OptionalLong prefix, Set<EndpointId> attempted) {

  /** Copies the set. */
  public RouteQuery {
    attempted = Set.copyOf(attempted);
  }
}
