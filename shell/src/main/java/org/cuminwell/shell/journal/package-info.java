/** Stores the durable state of a control host in one data folder. */
@NullMarked
package org.cuminwell.shell.journal;

import org.jspecify.annotations.NullMarked;
