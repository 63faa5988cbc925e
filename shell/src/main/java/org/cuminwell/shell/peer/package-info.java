/** Carries messages between the system's processes over TCP. */
@NullMarked
package org.cuminwell.shell.peer;

import org.jspecify.annotations.NullMarked;
