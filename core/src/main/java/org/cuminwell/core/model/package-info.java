/**
 * Defines the value types that all decisions share, such as customers, routes, hosts and verdicts.
 */
@NullMarked
package org.cuminwell.core.model;

import org.jspecify.annotations.NullMarked;
