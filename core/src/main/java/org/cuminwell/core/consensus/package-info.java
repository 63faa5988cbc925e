/**
 * Implements the Raft consensus algorithm, by which control hosts agree on one order of commands.
 */
@NullMarked
package org.cuminwell.core.consensus;

import org.jspecify.annotations.NullMarked;
