/** Runs each duty on a thread of its own and connects the threads by bounded rings. */
@NullMarked
package org.cuminwell.shell.duty;

import org.jspecify.annotations.NullMarked;
