/** Puts sockets, timers and threads round the decisions of a gateway. */
@NullMarked
package org.cuminwell.shell.gateway;

import org.jspecify.annotations.NullMarked;
