/** Recognises which requests crash endpoints, from evidence that all gateways pool. */
@NullMarked
package org.cuminwell.core.crash;

import org.jspecify.annotations.NullMarked;
