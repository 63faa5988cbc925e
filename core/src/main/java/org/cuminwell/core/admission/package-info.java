/** Decides which requests wait for an engine, and in which order they start. */
@NullMarked
package org.cuminwell.core.admission;

import org.jspecify.annotations.NullMarked;
