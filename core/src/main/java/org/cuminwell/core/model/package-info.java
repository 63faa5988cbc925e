/** Names the things that every decision speaks about: customers, routes, hosts, verdicts. */
@NullMarked
package org.cuminwell.core.model;

import org.jspecify.annotations.NullMarked;
