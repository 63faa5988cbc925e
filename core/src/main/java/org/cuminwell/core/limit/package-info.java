/** Keeps each customer within its token rate and burst. */
@NullMarked
package org.cuminwell.core.limit;

import org.jspecify.annotations.NullMarked;
