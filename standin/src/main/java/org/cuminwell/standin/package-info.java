/** Stands in for the endpoints that the system routes to, for tests and the demo. */
@NullMarked
package org.cuminwell.standin;

import org.jspecify.annotations.NullMarked;
