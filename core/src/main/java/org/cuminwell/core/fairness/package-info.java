/** Starts the requests of customers in a fair order when capacity is short. */
@NullMarked
package org.cuminwell.core.fairness;

import org.jspecify.annotations.NullMarked;
