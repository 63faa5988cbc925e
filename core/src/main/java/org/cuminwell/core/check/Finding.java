package org.cuminwell.core.check;

/** Describes what a check found, by severity. Immutable and thread safe. */
public sealed interface Finding {

  /** Returns the entry that the finding is about. */
  Subject subject();

  /** Returns the field of that entry. */
  Field field();

  /** Returns what was found, and what would be accepted where that isn't obvious. */
  String message();

  /** Reports that control hosts would not put the configuration in force. */
  record Refusal(Subject subject, Field field, String message) implements Finding {}

  /** Reports an entry that can't have the effect that it states. */
  record Warning(Subject subject, Field field, String message) implements Finding {}

  /** Reports something that may be intended and is worth knowing. */
  record Information(Subject subject, Field field, String message) implements Finding {}

  /** Returns the name of the severity. */
  default String severity() {
    return switch (this) {
      case Refusal f -> "error";
      case Warning f -> "warning";
      case Information f -> "information";
    };
  }

  /** Returns whether a check with this finding fails. */
  default boolean fails(boolean strict) {
    return switch (this) {
      case Refusal f -> true;
      case Warning f -> strict;
      case Information f -> false;
    };
  }
}
