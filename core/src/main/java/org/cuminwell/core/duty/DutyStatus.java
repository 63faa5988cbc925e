package org.cuminwell.core.duty;

import java.util.Map;
import java.util.Set;

/**
 * Describes the duties as one host knows them. Immutable and thread safe.
 *
 * @param tokens the token of each duty that was ever held
 * @param heldHere the duties that the host itself holds under a valid lease
 */
public record DutyStatus(
    Map<Duty, Long> tokens, Set<Duty> heldHere, int unconfirmedReports, long droppedReports) {

  /** The status of a host that knows of no duty. */
  public static final DutyStatus NONE = new DutyStatus(Map.of(), Set.of(), 0, 0);

  /** Copies the collections. */
  public DutyStatus {
    tokens = Map.copyOf(tokens);
    heldHere = Set.copyOf(heldHere);
  }

  /** Returns the duty's token, 0 if it was never held. */
  public long token(Duty duty) {
    return tokens.getOrDefault(duty, 0L);
  }

  /** Returns whether the host holds the duty. */
  public boolean isHeldHere(Duty duty) {
    return heldHere.contains(duty);
  }
}
