/** Counts what the system does and prints the counts. */
@NullMarked
package org.cuminwell.shell.metrics;

import org.jspecify.annotations.NullMarked;
