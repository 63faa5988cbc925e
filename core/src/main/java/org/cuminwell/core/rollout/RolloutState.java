package org.cuminwell.core.rollout;

/**
 * Says how far a version rollout has come. Shares are of the route's tokens, 0 to 1. Immutable and
 * thread safe.
 */
public sealed interface RolloutState {

  /** Waits for the first endpoint of the new version. */
  record Starting() implements RolloutState {}

  /** Gives the new version the first share. */
  record Canary(double share) implements RolloutState {}

  /** Gives the new version a growing share. */
  record Ramping(double share) implements RolloutState {}

  /** Has not moved in time and holds the share; {@code why} says what it lacks. */
  record Stuck(double share, String why) implements RolloutState {}

  /** Has moved all traffic for good. */
  record Done() implements RolloutState {}

  /** Has given all traffic back to the old version for good; {@code why} says what showed. */
  record TakenBack(String why) implements RolloutState {}

  /** Returns the new version's share. */
  default double share() {
    return switch (this) {
      case Starting s -> 0;
      case Canary s -> s.share();
      case Ramping s -> s.share();
      case Stuck s -> s.share();
      case Done s -> 1;
      case TakenBack s -> 0;
    };
  }

  /** Returns whether nothing changes any more. */
  default boolean isFinal() {
    return switch (this) {
      case Starting s -> false;
      case Canary s -> false;
      case Ramping s -> false;
      case Stuck s -> false;
      case Done s -> true;
      case TakenBack s -> true;
    };
  }

  /** Returns the name that operators see. */
  default String label() {
    return switch (this) {
      case Starting s -> "starting";
      case Canary s -> "canary";
      case Ramping s -> "ramping";
      case Stuck s -> "stuck";
      case Done s -> "done";
      case TakenBack s -> "taken_back";
    };
  }
}
