package org.cuminwell.core.consensus;

import java.time.Duration;

/**
 * Holds the times of the agreement.
 *
 * <p>A leader stops acting {@link #LEASE} after the last message that a quorum has acknowledged. No
 * host helps to elect another until {@link #VOTE_PAUSE} after it heard the leader, which is longer,
 * so the old leader has stopped before a new one acts.
 */
public final class ConsensusTimes {

  /** How often a leader shows that it lives. */
  public static final Duration HEARTBEAT = Duration.ofMillis(100);

  /** How long a leader may act after a quorum has heard it. */
  public static final Duration LEASE = Duration.ofMillis(700);

  /** How long a host that has heard a leader grants no vote. */
  public static final Duration VOTE_PAUSE = Duration.ofMillis(800);

  /** The shortest time without a leader after which a host asks for votes. */
  public static final Duration MIN_ELECTION = Duration.ofMillis(800);

  /** What chance may add to {@link #MIN_ELECTION}. */
  public static final Duration ELECTION_SPREAD = Duration.ofMillis(800);

  /** How long a leader's disk may take nothing before another host should lead. */
  public static final Duration SYNC_PATIENCE = Duration.ofMillis(1_500);

  /** How often a learner asks to be admitted. */
  public static final Duration JOIN = Duration.ofMillis(300);

  private ConsensusTimes() {}
}
