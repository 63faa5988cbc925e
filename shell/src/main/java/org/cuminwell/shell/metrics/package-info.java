/** Collects the metrics of a process, prints them, and measures the steps of its start. */
@NullMarked
package org.cuminwell.shell.metrics;

import org.jspecify.annotations.NullMarked;
