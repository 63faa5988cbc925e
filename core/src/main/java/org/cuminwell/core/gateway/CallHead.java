package org.cuminwell.core.gateway;

import java.util.Optional;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;

/**
 * Holds what a request says before its body is read, so that residency is decided first.
 *
 * <p>Immutable and thread safe.
 */
public record CallHead(RequestId id, Target target, Optional<KeyHash> key) {

  /** Says what the path asks for. Immutable and thread safe. */
  public sealed interface Target {

    /**
     * Asks for a completion; the model stands in the body.
     *
     * @param route the route, where a header names it so that the body need not be read for it
     */
    record Completion(Optional<RouteId> route) implements Target {}

    /** Asks a plain service. */
    record Plain(RouteId route, String method) implements Target {}
  }
}
