/** Decides which requests a gateway at capacity refuses on their heads. */
@NullMarked
package org.cuminwell.core.overload;

import org.jspecify.annotations.NullMarked;
