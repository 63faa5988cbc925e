package org.cuminwell.app;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sums the refusals of many gateways by data centre and cause. Not thread safe. */
final class RefusalTable {

  private static final Pattern LINE =
      Pattern.compile("cuminwell_refused_last_minute\\{cause=\"([a-z_]+)\"\\} ([0-9]+)");

  private static final Object[] HEADINGS = {"data_centre", "cause", "refused"};

  private final Map<String, Map<String, Long>> refusals = new TreeMap<>();

  /** Adds the metrics of one gateway, in the text format of Prometheus. */
  void add(String dataCentre, String metrics) {
    Map<String, Long> causes = refusals.computeIfAbsent(dataCentre, _ -> new TreeMap<>());
    Matcher line = LINE.matcher(metrics);
    while (line.find()) {
      causes.merge(line.group(1), Long.parseLong(line.group(2)), Long::sum);
    }
  }

  /** Returns one line for each data centre and cause with refusals, the most frequent first. */
  String text() {
    StringBuilder text = new StringBuilder(String.format("%-24s %-28s %8s%n", HEADINGS));
    refusals.forEach(
        (dataCentre, causes) ->
            causes.entrySet().stream()
                .filter(cause -> cause.getValue() > 0)
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .forEach(
                    cause ->
                        text.append(
                            String.format(
                                "%-24s %-28s %8d%n",
                                dataCentre, cause.getKey(), cause.getValue()))));
    return text.toString();
  }
}
