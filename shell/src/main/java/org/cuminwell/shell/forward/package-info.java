/** Carries forwarded requests between callers, gateways and endpoints. */
@NullMarked
package org.cuminwell.shell.forward;

import org.jspecify.annotations.NullMarked;
