package org.cuminwell.shell.metrics;

/**
 * Encodes a metric name with its labels, since the metrics library has no labels. Immutable and
 * thread safe.
 *
 * @param name the name without labels
 * @param label the name of the label; empty for a metric without labels
 * @param value the value of the label; unused if there is no label
 */
record MetricName(String name, String label, String value) {

  /** Returns the name and its label, as {@code name{label="value"}} or just {@code name}. */
  String encoded() {
    return label.isEmpty() ? name : name + "{" + pair(label, value) + "}";
  }

  /** Returns the encoded name with a second label; the first must not be empty. */
  String encodedWith(String label2, String value2) {
    return name + "{" + pair(label, value) + "," + pair(label2, value2) + "}";
  }

  private static String pair(String label, String value) {
    return label + "=\"" + value + "\"";
  }
}
