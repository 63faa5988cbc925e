package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.function.Supplier;
import org.cuminwell.shell.http.Listener;
import org.cuminwell.shell.http.ListenerFigures;
import org.cuminwell.shell.metrics.Telemetry;
import org.jspecify.annotations.Nullable;

/**
 * Logs the figures of a listener whenever connections were accepted or requests dropped, and
 * registers them as gauges. Not thread safe: one timer calls it.
 */
final class ListenerLog {

  private static final System.Logger LOG = System.getLogger("org.cuminwell.listener");
  private static final ListenerFigures NONE = new ListenerFigures(0, 0, 0, 0);

  private final String name;
  private final Supplier<@Nullable Listener> listener;
  private ListenerFigures logged = NONE;

  ListenerLog(String name, Supplier<@Nullable Listener> listener) {
    this.name = name;
    this.listener = listener;
  }

  void registerGauges(Telemetry telemetry) {
    String prefix = name + "_connections_";
    telemetry.gauge(prefix + "accepted", () -> figures().accepted());
    telemetry.gauge(prefix + "open", () -> figures().open());
    telemetry.gauge(prefix + "shed", () -> figures().shed());
    telemetry.gauge(name + "_requests_dropped", () -> figures().dropped());
  }

  /** Logs the figures if the counts have grown since the last line. */
  void writeIfChanged() {
    ListenerFigures now = figures();
    if (now.accepted() > logged.accepted() || now.dropped() > logged.dropped()) {
      LOG.log(System.Logger.Level.INFO, line(now));
      logged = now;
    }
  }

  private String line(ListenerFigures now) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("listener", name)
        .put("accepted", now.accepted())
        .put("open", now.open())
        .put("shed", now.shed())
        .put("dropped", now.dropped())
        .toString();
  }

  private ListenerFigures figures() {
    Listener current = listener.get();
    return current == null ? NONE : current.figures();
  }
}
