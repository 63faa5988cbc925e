/** Tracks the entry hosts and selects the ones that callers should use. */
@NullMarked
package org.cuminwell.core.directory;

import org.jspecify.annotations.NullMarked;
