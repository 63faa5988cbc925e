package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.overload.OverloadLogEvent;
import org.cuminwell.core.overload.RequestHead;
import org.cuminwell.shell.forward.HeadGuard;
import org.cuminwell.shell.metrics.Telemetry;

/** Counts requests that are refused on their heads, and logs when load is shed. Thread safe. */
final class OverloadLog implements HeadGuard.Observer {

  private static final System.Logger LOG = System.getLogger("org.cuminwell.overload");

  private final Telemetry telemetry;

  OverloadLog(Telemetry telemetry) {
    this.telemetry = telemetry;
  }

  @Override
  public void onRefused(CallRecord callRecord, RequestHead head) {
    telemetry.record(callRecord);
    String customerRank =
        head.customerRank() == RequestHead.UNKNOWN_RANK
            ? "unknown"
            : Integer.toString(head.customerRank());
    telemetry.count("refused_on_head", "priority", customerRank + "." + head.routeRank());
  }

  @Override
  public void onChange(OverloadLogEvent event) {
    if (event instanceof OverloadLogEvent.Began) {
      telemetry.count("shedding_begun", 1);
    }
    LOG.log(System.Logger.Level.WARNING, line(event));
  }

  private static String line(OverloadLogEvent event) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    switch (event) {
      case OverloadLogEvent.Began e ->
          line.put("shedding", "began")
              .put("source", e.source().label())
              .put("delay_ms", e.delay().toMillis())
              .put("bound_ms", e.bound().toMillis())
              .put("admitted_per_s", Math.round(e.perSecond()));
      case OverloadLogEvent.Ended e ->
          line.put("shedding", "ended")
              .put("lasted_ms", e.lasted().toMillis())
              .put("refused", e.refused());
    }
    return line.toString();
  }
}
