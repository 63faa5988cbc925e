package org.cuminwell.core.rollout;

import org.cuminwell.core.model.VersionRollout;

/**
 * Asks to record the next step of a version rollout. Immutable and thread safe.
 *
 * @param step the number of the step; it counts only if it follows the last recorded one
 */
public record RolloutAdvance(VersionRollout rollout, long step, RolloutState state) {}
