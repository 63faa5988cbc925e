package org.cuminwell.core.routing;

import org.cuminwell.core.model.EndpointId;

/** Scores engines for a key, so that all gateways rank them in the same order. Stateless. */
final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns the score of the engine for the key; the highest score ranks first. */
  static long score(long key, EndpointId engine) {
    long mixed = (key * 0x9E3779B97F4A7C15L) ^ engine.hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
