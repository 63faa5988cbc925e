/** Keeps the durable state of a control host in one folder. */
@NullMarked
package org.cuminwell.shell.journal;

import org.jspecify.annotations.NullMarked;
