package org.cuminwell.core.consensus;

import java.time.Duration;

/**
 * Defines the intervals and timeouts of the consensus protocol.
 *
 * <p>A leader stops acting {@link #LEADER_LEASE} after the last message that a quorum acknowledged.
 * A host grants no vote until {@link #VOTE_HOLD_OFF} after it received a leader's message or
 * granted another vote. Since that is longer, the old leader has stopped before a new one acts.
 */
public final class ConsensusTimeouts {

  /** How often a leader sends heartbeats. */
  public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);

  /** How long a leader may act after it sent its latest message acknowledged by a quorum. */
  public static final Duration LEADER_LEASE = Duration.ofMillis(700);

  /** How long a host grants no vote after a message of a leader. */
  public static final Duration VOTE_HOLD_OFF = Duration.ofMillis(800);

  /** The minimum time without a leader's message after which a host asks for votes. */
  public static final Duration MIN_ELECTION_TIMEOUT = Duration.ofMillis(800);

  /** The upper bound of the random time added to {@link #MIN_ELECTION_TIMEOUT}. */
  public static final Duration MAX_ELECTION_JITTER = Duration.ofMillis(800);

  /** How long a write may wait for a sync before a leader resigns. */
  public static final Duration SYNC_TIMEOUT = Duration.ofMillis(1_500);

  /** How often a host asks to join. */
  public static final Duration JOIN_REQUEST_INTERVAL = Duration.ofMillis(300);

  /** How recently a learner must have been heard to become a voter. */
  public static final Duration LEARNER_HEARD_WITHIN = Duration.ofMillis(500);

  /** How long a voter must be silent before a learner may take its place. */
  public static final Duration REPLACE_SILENT_AFTER = Duration.ofMillis(1_500);

  /**
   * How long a learner waits before it is added without a voter whose place it takes, so that the
   * silence of a predecessor is noticed first.
   */
  public static final Duration ADD_LEARNER_AFTER = REPLACE_SILENT_AFTER;

  /** How long a voter must be silent before it may be dropped from an even number of voters. */
  public static final Duration DROP_ONE_AFTER = Duration.ofSeconds(3);

  /** How long two voters must be silent before they may be dropped together. */
  public static final Duration DROP_TWO_AFTER = Duration.ofSeconds(10);

  /** How long a learner must be silent before the leader stops sending to it. */
  public static final Duration FORGET_LEARNER_AFTER = Duration.ofSeconds(10);

  private ConsensusTimeouts() {}
}
