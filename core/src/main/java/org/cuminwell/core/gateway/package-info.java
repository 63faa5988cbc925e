/** Decides what a gateway does with each request, from its headers to the end of its answer. */
@NullMarked
package org.cuminwell.core.gateway;

import org.jspecify.annotations.NullMarked;
