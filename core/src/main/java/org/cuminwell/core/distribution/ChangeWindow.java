package org.cuminwell.core.distribution;

import java.util.ArrayDeque;
import java.util.Optional;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.distribution.DistributionMessage.Difference;
import org.cuminwell.core.model.Revision;

/**
 * Keeps the latest changes, so that a holder that is only a little behind gets those alone.
 *
 * <p>Invariants: the changes are consecutive and end at {@link #end()}; there are never more than
 * {@link #MAX_CHANGES}. Not thread safe: one thread owns it.
 */
final class ChangeWindow {

  /** How many changes are kept; a holder that is further behind gets the whole configuration. */
  static final int MAX_CHANGES = 1_024;

  private final ArrayDeque<ConfigurationChange> changes = new ArrayDeque<>();
  private Revision end = Revision.ZERO;

  /** Returns the revision that the last change made. */
  Revision end() {
    return end;
  }

  /** Appends the change that made the revision after {@link #end()}. */
  void append(ConfigurationChange change) {
    changes.addLast(change);
    end = end.next();
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  /** Forgets every change, because the revision was reached without them. */
  void resetTo(Revision revision) {
    changes.clear();
    end = revision;
  }

  /** Returns what brings {@code from} to the end, if all of it is still kept. */
  Optional<Difference> since(Revision from) {
    long missing = end.value() - from.value();
    if (missing <= 0 || missing > changes.size()) {
      return Optional.empty();
    }
    return Optional.of(
        new Difference(from, changes.stream().skip(changes.size() - missing).toList()));
  }
}
