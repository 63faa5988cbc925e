/** The configuration that operators have put in force, changes to it, and lookups in it. */
@NullMarked
package org.cuminwell.core.config;

import org.jspecify.annotations.NullMarked;
