/** Chooses the endpoint for a request. */
@NullMarked
package org.cuminwell.core.routing;

import org.jspecify.annotations.NullMarked;
