/** Checks change tickets and decides the fate of each ticket number. */
@NullMarked
package org.cuminwell.core.ticket;

import org.jspecify.annotations.NullMarked;
