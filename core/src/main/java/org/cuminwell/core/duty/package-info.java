/** Decides who calls the platform for duties that one process at a time may hold, and with what. */
@NullMarked
package org.cuminwell.core.duty;

import org.jspecify.annotations.NullMarked;
