package org.cuminwell.shell.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Prints a registry in the text format of Prometheus. Stateless and thread safe. */
final class PrometheusText {

  private static final String PREFIX = "cuminwell_";
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private PrometheusText() {}

  static String of(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    registry
        .getGauges()
        .forEach((name, gauge) -> line(text, name, ((Number) gauge.getValue()).longValue()));
    registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
    registry
        .getHistograms()
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              for (double quantile : QUANTILES) {
                line(text, withQuantile(name, quantile), snapshot.getValue(quantile));
              }
              line(text, suffixed(name, "_count"), histogram.getCount());
            });
    return text.toString();
  }

  private static void line(StringBuilder text, String name, double value) {
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  private static String withQuantile(String name, double quantile) {
    return name.substring(0, name.length() - 1) + ",quantile=\"" + quantile + "\"}";
  }

  private static String suffixed(String name, String suffix) {
    int brace = name.indexOf('{');
    return name.substring(0, brace) + suffix + name.substring(brace);
  }
}
