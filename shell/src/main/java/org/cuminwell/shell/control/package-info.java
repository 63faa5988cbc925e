/** Runs a control host: connects its decision logic to sockets, files, timers and threads. */
@NullMarked
package org.cuminwell.shell.control;

import org.jspecify.annotations.NullMarked;
