/** Implements a control host: tickets, the replicated state, and what gateways are sent. */
@NullMarked
package org.cuminwell.core.control;

import org.jspecify.annotations.NullMarked;
