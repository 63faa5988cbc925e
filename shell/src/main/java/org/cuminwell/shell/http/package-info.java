/** Holds what all HTTP sides share: the server, errors and the body reader. */
@NullMarked
package org.cuminwell.shell.http;

import org.jspecify.annotations.NullMarked;
