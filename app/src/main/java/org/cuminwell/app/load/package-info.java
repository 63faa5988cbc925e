/** Drives the system with an open-loop load and measures what callers see. */
@NullMarked
package org.cuminwell.app.load;

import org.jspecify.annotations.NullMarked;
