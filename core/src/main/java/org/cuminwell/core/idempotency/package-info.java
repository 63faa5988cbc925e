/** Keeps calls that must not run twice from running twice, whichever gateway they come to. */
@NullMarked
package org.cuminwell.core.idempotency;

import org.jspecify.annotations.NullMarked;
