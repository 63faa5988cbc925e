/** Agrees with the other control hosts on one order of commands that is never taken back. */
@NullMarked
package org.cuminwell.core.consensus;

import org.jspecify.annotations.NullMarked;
