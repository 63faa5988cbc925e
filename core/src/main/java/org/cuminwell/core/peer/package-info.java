/** Defines the messages between the system's own processes. */
@NullMarked
package org.cuminwell.core.peer;

import org.jspecify.annotations.NullMarked;
