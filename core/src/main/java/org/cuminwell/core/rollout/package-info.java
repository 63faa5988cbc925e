/** Moves a route's traffic from one version to another, and back as soon as a fault shows. */
@NullMarked
package org.cuminwell.core.rollout;

import org.jspecify.annotations.NullMarked;
