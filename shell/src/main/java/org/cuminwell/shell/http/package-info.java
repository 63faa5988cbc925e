/** Provides the HTTP server, client calls, error responses and body reader for all front ends. */
@NullMarked
package org.cuminwell.shell.http;

import org.jspecify.annotations.NullMarked;
