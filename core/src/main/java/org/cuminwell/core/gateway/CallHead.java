package org.cuminwell.core.gateway;

import java.util.Optional;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;

/**
 * Holds the properties of a request that are known before its body is read, so that residency can
 * be decided first.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the hash of the caller's key; empty if the caller sent none
 */
public record CallHead(RequestId id, Target target, Optional<KeyHash> key) {

  /** Describes what the path of a request asks for. Immutable and thread safe. */
  public sealed interface Target {

    /**
     * Asks for a completion; the body names the model.
     *
     * @param route the route; present only if a header names it, so that the body need not be read
     *     to find it
     */
    record Completion(Optional<RouteId> route) implements Target {}

    /** Calls a plain service. */
    record Plain(RouteId route, String method) implements Target {}
  }
}
