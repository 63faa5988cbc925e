/**
 * Moves the traffic of a route or service from one version to another, and rolls it back if the new
 * version shows a fault.
 */
@NullMarked
package org.cuminwell.core.rollout;

import org.jspecify.annotations.NullMarked;
