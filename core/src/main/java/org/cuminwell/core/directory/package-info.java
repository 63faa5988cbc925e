/** Knows the entry hosts and tells callers which of them to use. */
@NullMarked
package org.cuminwell.core.directory;

import org.jspecify.annotations.NullMarked;
