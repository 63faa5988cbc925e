package org.cuminwell.core.admission;

import org.cuminwell.core.residency.Residency;

/**
 * Names the engines that a request may use and how much room it needs there, as far as requests
 * differ in it. If one request finds no room, neither does another of the same demand. Immutable
 * and thread safe.
 *
 * @param routeRank the rank of the route, on which it depends how far an engine may be filled
 */
public record EngineDemand(String service, Residency residency, int routeRank) {

  /** Returns whether a request of the other demand may take the engine that this one waits for. */
  boolean sharesEnginesWith(EngineDemand other) {
    return service.equals(other.service) && residency.equals(other.residency);
  }
}
