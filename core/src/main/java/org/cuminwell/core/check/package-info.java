/** Finds what is wrong, contradictory or different in a configuration before it is sent. */
@NullMarked
package org.cuminwell.core.check;

import org.jspecify.annotations.NullMarked;
