package org.cuminwell.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * Holds the state that a journal recovers at startup. Immutable and thread safe.
 *
 * @param entries the entries after the snapshot, in order and without gaps
 */
public record DurableState<C, S>(
    HardState hardState, Optional<Snapshot<S>> snapshot, List<LogEntry<C>> entries) {

  /** Copies the list. */
  public DurableState {
    entries = List.copyOf(entries);
  }

  /** Returns the state of an empty disk. */
  public static <C, S> DurableState<C, S> empty(HardState hardState) {
    return new DurableState<>(hardState, Optional.empty(), List.of());
  }
}
