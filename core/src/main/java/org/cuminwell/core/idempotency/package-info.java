/** Prevents calls with an idempotency key from running twice, whichever gateways receive them. */
@NullMarked
package org.cuminwell.core.idempotency;

import org.jspecify.annotations.NullMarked;
