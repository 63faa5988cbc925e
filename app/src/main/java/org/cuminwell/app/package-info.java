/** Reads the command line, checks the settings and starts what was asked for. */
@NullMarked
package org.cuminwell.app;

import org.jspecify.annotations.NullMarked;
