/** Lets customers' requests start in a fair order when there is not room for all. */
@NullMarked
package org.cuminwell.core.fairness;

import org.jspecify.annotations.NullMarked;
