/** Maps between core types and their encodings: protobuf between processes, JSON for people. */
@NullMarked
package org.cuminwell.wire;

import org.jspecify.annotations.NullMarked;
