/**
 * Decides whether a request may be retried after a failed attempt, and limits the number of
 * retries.
 */
@NullMarked
package org.cuminwell.core.retry;

import org.jspecify.annotations.NullMarked;
