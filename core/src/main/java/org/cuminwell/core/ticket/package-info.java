/** Validates change tickets and decides which ticket is accepted under each number. */
@NullMarked
package org.cuminwell.core.ticket;

import org.jspecify.annotations.NullMarked;
