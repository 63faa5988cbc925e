package org.cuminwell.app.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Shows the outcome of a load, a row a customer. Not thread safe. */
public final class LoadTable {

  private static final double MICROS_PER_MILLI = 1e3;
  private static final String ROW = "%-14s %8s %8s %8s %8s %9s %9s %9s %9s %9s%n";

  private final Map<String, CustomerTally> tallies;
  private final CustomerTally total = new CustomerTally();

  LoadTable(Map<String, CustomerTally> tallies) {
    this.tallies = new TreeMap<>(tallies);
    tallies.values().forEach(total::add);
  }

  /** Returns how many requests got no whole answer. */
  public long failed() {
    return total.sent.sum() - total.whole.sum();
  }

  /** Returns the table as text; times are in milliseconds. */
  public String text() {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            ROW,
            "customer",
            "sent",
            "whole",
            "refused",
            "broken",
            "first p50",
            "first p95",
            "first p99",
            "end p50",
            "end p99"));
    tallies.forEach((name, tally) -> text.append(row(name, tally)));
    text.append(row("all", total));
    return text.toString();
  }

  private static String row(String name, CustomerTally tally) {
    return String.format(
        Locale.ROOT,
        ROW,
        name,
        tally.sent.sum(),
        tally.whole.sum(),
        tally.refused.sum(),
        tally.broken.sum(),
        millis(tally.firstToken, 50),
        millis(tally.firstToken, 95),
        millis(tally.firstToken, 99),
        millis(tally.end, 50),
        millis(tally.end, 99));
  }

  private static String millis(Histogram histogram, double percentile) {
    double micros = histogram.getValueAtPercentile(percentile);
    return String.format(Locale.ROOT, "%.2f", micros / MICROS_PER_MILLI);
  }
}
