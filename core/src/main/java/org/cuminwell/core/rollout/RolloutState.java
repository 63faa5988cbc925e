package org.cuminwell.core.rollout;

/**
 * Describes the state of a rollout. Shares are fractions of the traffic, from 0 to 1: of a route's
 * tokens, or of a service's requests. Immutable and thread safe.
 *
 * <p>The names of the states and their components appear in logs. The text of {@code why} is stored
 * in the replicated state and shown to operators.
 */
public sealed interface RolloutState {

  /** Waits for the first endpoint of the new version, which gets no traffic yet. */
  record Starting() implements RolloutState {}

  /** Gives the new version the first share. */
  record Canary(double share) implements RolloutState {}

  /** Gives the new version a larger share than the first. */
  record Ramping(double share) implements RolloutState {}

  /** Has missed the deadline and keeps the share; {@code why} says what the rollout waits for. */
  record Stuck(double share, String why) implements RolloutState {}

  /** Has moved all traffic to the new version. Final. */
  record Done() implements RolloutState {}

  /** Has rolled all traffic back to the old version; {@code why} describes the fault. Final. */
  record TakenBack(String why) implements RolloutState {}

  /** Returns the share of the new version. */
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

  /** Returns whether no further step can follow. */
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

  /** Returns the name of this state in messages and stored data. */
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
