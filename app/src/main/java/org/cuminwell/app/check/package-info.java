/** Checks a file with a configuration and prints what was found. */
@NullMarked
package org.cuminwell.app.check;

import org.jspecify.annotations.NullMarked;
