/** Selects the endpoint of a request by load, failures, distance and cached prompts. */
@NullMarked
package org.cuminwell.core.routing;

import org.jspecify.annotations.NullMarked;
