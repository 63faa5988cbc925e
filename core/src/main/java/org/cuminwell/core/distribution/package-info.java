/** Distributes each revision of the configuration to every gateway, and never an older one. */
@NullMarked
package org.cuminwell.core.distribution;

import org.jspecify.annotations.NullMarked;
