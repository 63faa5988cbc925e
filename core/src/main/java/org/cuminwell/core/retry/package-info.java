/** Decides whether a failed attempt may be made again. */
@NullMarked
package org.cuminwell.core.retry;

import org.jspecify.annotations.NullMarked;
