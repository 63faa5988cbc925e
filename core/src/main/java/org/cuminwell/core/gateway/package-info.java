/** Decides how a gateway handles each request, from its headers to the end of its response. */
@NullMarked
package org.cuminwell.core.gateway;

import org.jspecify.annotations.NullMarked;
