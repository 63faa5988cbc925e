/** Decides about HTTP requests that are forwarded unchanged to the servers of a service. */
@NullMarked
package org.cuminwell.core.forward;

import org.jspecify.annotations.NullMarked;
