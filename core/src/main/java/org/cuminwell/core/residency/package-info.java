/** Decides in which regions a request may be read and run. */
@NullMarked
package org.cuminwell.core.residency;

import org.jspecify.annotations.NullMarked;
