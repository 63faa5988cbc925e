/** Holds the whole configuration that operators have put in force, and finds things in it. */
@NullMarked
package org.cuminwell.core.config;

import org.jspecify.annotations.NullMarked;
