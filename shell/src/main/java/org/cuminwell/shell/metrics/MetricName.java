package org.cuminwell.shell.metrics;

/**
 * Names a metric with one label, since the metrics library knows plain names only. Immutable and
 * thread safe.
 */
record MetricName(String name, String label, String value) {

  /** Returns the name as the registry and Prometheus write it. */
  String encoded() {
    return label.isEmpty() ? name : name + "{" + pair(label, value) + "}";
  }

  /** Returns the name with a second label. */
  String with(String label2, String value2) {
    return name + "{" + pair(label, value) + "," + pair(label2, value2) + "}";
  }

  private static String pair(String label, String value) {
    return label + "=\"" + value + "\"";
  }
}
