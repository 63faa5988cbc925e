/** Decides how HTTP requests are forwarded unchanged to the endpoints of a service. */
@NullMarked
package org.cuminwell.core.forward;

import org.jspecify.annotations.NullMarked;
