/** Decides what a control host does: tickets, replicated state and what gateways are told. */
@NullMarked
package org.cuminwell.core.control;

import org.jspecify.annotations.NullMarked;
