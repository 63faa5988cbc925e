/** Carries messages between the system's processes over TCP, with or without mutual TLS. */
@NullMarked
package org.cuminwell.shell.peer;

import org.jspecify.annotations.NullMarked;
