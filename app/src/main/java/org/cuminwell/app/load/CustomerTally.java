package org.cuminwell.app.load;

import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts what one customer saw. Thread safe. */
final class CustomerTally {

  private static final long MAX_MICROS = 600_000_000;
  private static final int DIGITS = 3;

  final LongAdder sent = new LongAdder();
  final LongAdder whole = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder broken = new LongAdder();

  /** Times from the moment a request was due, in microseconds. */
  final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, DIGITS);

  final Histogram end = new ConcurrentHistogram(MAX_MICROS, DIGITS);

  void add(CustomerTally other) {
    sent.add(other.sent.sum());
    whole.add(other.whole.sum());
    refused.add(other.refused.sum());
    broken.add(other.broken.sum());
    firstToken.add(other.firstToken);
    end.add(other.end);
  }

  static void record(Histogram histogram, long nanos) {
    histogram.recordValue(Math.clamp(nanos / 1_000, 0, MAX_MICROS));
  }
}
