package org.cuminwell.core.rollout;

import java.time.Instant;
import org.cuminwell.core.model.Rollout;

/**
 * Records one step of a version move. Immutable and thread safe.
 *
 * @param step counts the recorded changes of this move, from 1
 * @param at when the step was recorded, by the time of the log
 */
public record RolloutProgress(Rollout rollout, long step, RolloutState state, Instant at) {}
