/** Enforces each customer's token rate and burst over all gateways. */
@NullMarked
package org.cuminwell.core.limit;

import org.jspecify.annotations.NullMarked;
