/** Tracks which endpoints may be given work. */
@NullMarked
package org.cuminwell.core.membership;

import org.jspecify.annotations.NullMarked;
