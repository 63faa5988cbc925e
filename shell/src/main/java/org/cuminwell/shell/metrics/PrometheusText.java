package org.cuminwell.shell.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Prints the metrics of a registry in the text format of Prometheus. Stateless and thread safe. */
final class PrometheusText {

  private static final String PREFIX = "cuminwell_";
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private PrometheusText() {}

  /**
   * Returns the gauges, counters and histograms, one value a line; a histogram gives one line for
   * each quantile and one for its count.
   *
   * <p>Gauges must be numbers, and names of histograms must have a label.
   */
  static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    registry
        .getGauges()
        .forEach((name, gauge) -> appendLine(text, name, ((Number) gauge.getValue()).longValue()));
    registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
    registry
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              for (double quantile : QUANTILES) {
                appendLine(text, withQuantile(name, quantile), snapshot.getValue(quantile));
              }
              appendLine(text, withSuffix(name, "_count"), histogram.getCount());
            });
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, double value) {
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  private static void appendLine(StringBuilder text, String name, long value) {
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  /** Adds the quantile as the last label of an encoded name, which must have a label already. */
  private static String withQuantile(String name, double quantile) {
    return name.substring(0, name.length() - 1) + ",quantile=\"" + quantile + "\"}";
  }

  /** Inserts the suffix before the labels of an encoded name, which must have a label. */
  private static String withSuffix(String name, String suffix) {
    int brace = name.indexOf('{');
    return name.substring(0, brace) + suffix + name.substring(brace);
  }
}
