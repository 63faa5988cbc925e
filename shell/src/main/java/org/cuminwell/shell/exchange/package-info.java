/** Serves and sends HTTP/1.1 requests over Netty, for requests that are passed on unchanged. */
@NullMarked
package org.cuminwell.shell.exchange;

import org.jspecify.annotations.NullMarked;
