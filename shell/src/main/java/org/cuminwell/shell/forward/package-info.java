/** Transports forwarded requests between callers, relay gateways and endpoints over HTTP. */
@NullMarked
package org.cuminwell.shell.forward;

import org.jspecify.annotations.NullMarked;
