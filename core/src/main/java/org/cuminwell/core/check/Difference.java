package org.cuminwell.core.check;

import java.util.Set;

/** Describes how an entry differs from the configuration in force. Immutable and thread safe. */
public sealed interface Difference {

  /** Returns the entry that differs. */
  Subject subject();

  /** Returns what the change means for requests that run when it takes effect. */
  String effect();

  /** Reports an entry that only the new configuration has. */
  record Added(Subject subject, String effect) implements Difference {}

  /** Reports an entry that only the configuration in force has. */
  record Removed(Subject subject, String effect) implements Difference {}

  /** Reports an entry with other values in some fields. */
  record Changed(Subject subject, Set<Field> fields, String effect) implements Difference {
    /** Copies the set. */
    public Changed {
      fields = Set.copyOf(fields);
    }
  }

  /** Returns the kind of difference in one word. */
  default String kind() {
    return switch (this) {
      case Added d -> "added";
      case Removed d -> "removed";
      case Changed d -> "changed";
    };
  }
}
