/** Names the messages that cuminwell's own processes send each other. */
@NullMarked
package org.cuminwell.core.peer;

import org.jspecify.annotations.NullMarked;
