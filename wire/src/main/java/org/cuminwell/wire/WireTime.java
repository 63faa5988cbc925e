package org.cuminwell.wire;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Maps times to microseconds since 1970 and back, rounding down. Stateless and thread safe. */
final class WireTime {

  private WireTime() {}

  static long micros(Instant time) {
    return ChronoUnit.MICROS.between(Instant.EPOCH, time);
  }

  static Instant instant(long micros) {
    return Instant.EPOCH.plus(micros, ChronoUnit.MICROS);
  }
}
