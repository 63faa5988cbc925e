package org.cuminwell.core.distribution;

import java.util.ArrayDeque;
import java.util.Optional;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.config.ConfigurationSize;
import org.cuminwell.core.distribution.DistributionMessage.Difference;
import org.cuminwell.core.model.Revision;

/**
 * Keeps the latest changes, so that a process that is only slightly behind gets those alone.
 *
 * <p>Invariants: the changes are consecutive and end at {@link #end()}; there are at most {@link
 * #MAX_CHANGES}, and their estimated memory is at most {@link #MAX_BYTES}. Not thread safe: one
 * thread owns it.
 */
final class ChangeWindow {

  /**
   * Maximum number of changes kept; a process that is further behind gets the whole configuration.
   */
  static final int MAX_CHANGES = 1_024;

  /** Maximum estimated memory of the changes kept, in bytes. */
  static final long MAX_BYTES = 4 * 1024 * 1024;

  /** Holds a change with its estimated memory, in bytes. */
  private record SizedChange(ConfigurationChange change, long bytes) {}

  private final ArrayDeque<SizedChange> changes = new ArrayDeque<>();
  private long bytes;
  private Revision end = Revision.ZERO;

  /** Returns the revision after the last change. */
  Revision end() {
    return end;
  }

  /** Appends the change that leads to the revision after {@link #end()}. */
  void append(ConfigurationChange change) {
    SizedChange added = new SizedChange(change, ConfigurationSize.bytesOf(change));
    changes.addLast(added);
    bytes += added.bytes();
    end = end.next();
    while (changes.size() > MAX_CHANGES || bytes > MAX_BYTES) {
      bytes -= changes.removeFirst().bytes();
    }
  }

  /** Removes all changes, because {@code revision} was reached without them. */
  void resetTo(Revision revision) {
    changes.clear();
    bytes = 0;
    end = revision;
  }

  /** Returns the changes from {@code from} to the end, if all of them are still kept. */
  Optional<Difference> since(Revision from) {
    long missing = end.value() - from.value();
    if (missing <= 0 || missing > changes.size()) {
      return Optional.empty();
    }
    return Optional.of(
        new Difference(
            from,
            changes.stream().skip(changes.size() - missing).map(SizedChange::change).toList()));
  }
}
