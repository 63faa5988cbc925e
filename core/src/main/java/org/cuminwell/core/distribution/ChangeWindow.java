package org.cuminwell.core.distribution;

import java.util.ArrayDeque;
import java.util.Optional;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.distribution.DistributionMessage.Difference;
import org.cuminwell.core.model.Revision;

/**
 * Keeps the latest changes, so that a process that is only slightly behind gets those alone.
 *
 * <p>Invariants: the changes are consecutive and end at {@link #end()}; there are at most {@link
 * #MAX_CHANGES}. Not thread safe: one thread owns it.
 */
final class ChangeWindow {

  /**
   * Maximum number of changes kept; a process that is further behind gets the whole configuration.
   */
  static final int MAX_CHANGES = 1_024;

  private final ArrayDeque<ConfigurationChange> changes = new ArrayDeque<>();
  private Revision end = Revision.ZERO;

  /** Returns the revision after the last change. */
  Revision end() {
    return end;
  }

  /** Appends the change that leads to the revision after {@link #end()}. */
  void append(ConfigurationChange change) {
    changes.addLast(change);
    end = end.next();
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  /** Removes all changes, because {@code revision} was reached without them. */
  void resetTo(Revision revision) {
    changes.clear();
    end = revision;
  }

  /** Returns the changes from {@code from} to the end, if all of them are still kept. */
  Optional<Difference> since(Revision from) {
    long missing = end.value() - from.value();
    if (missing <= 0 || missing > changes.size()) {
      return Optional.empty();
    }
    return Optional.of(
        new Difference(from, changes.stream().skip(changes.size() - missing).toList()));
  }
}
