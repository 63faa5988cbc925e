package org.cuminwell.core.rollout;

import org.cuminwell.core.model.VersionRollout;

/**
 * Requests that the next step of a rollout be recorded. Immutable and thread safe.
 *
 * @param step the number of the step; it is ignored unless it follows the last recorded one
 */
public record RolloutAdvance(VersionRollout rollout, long step, RolloutState state) {}
