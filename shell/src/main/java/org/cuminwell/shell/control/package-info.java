/** Puts sockets, timers and threads round the decisions of a control host. */
@NullMarked
package org.cuminwell.shell.control;

import org.jspecify.annotations.NullMarked;
