/**
 * Runs the real programs as processes of this machine under load and faults, and checks what
 * callers and endpoints see.
 */
@NullMarked
package org.cuminwell.soak;

import org.jspecify.annotations.NullMarked;
