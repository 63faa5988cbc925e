package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminwell.core.crash.CrashLogEvent;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.shell.metrics.Telemetry;

/**
 * Writes what a gateway believes about crashes of endpoints, one JSON object a line, and counts it.
 * Thread safe.
 */
final class CrashLog {

  private static final System.Logger LOG = System.getLogger("org.cuminwell.crash");

  private final Telemetry telemetry;

  CrashLog(Telemetry telemetry) {
    this.telemetry = telemetry;
  }

  /** Writes the event and counts it. */
  void write(CrashLogEvent event) {
    telemetry.count(counter(event), 1);
    LOG.log(System.Logger.Level.INFO, line(event).toString());
  }

  static ObjectNode line(CrashLogEvent event) {
    return switch (event) {
      case CrashLogEvent.CrashSeen e ->
          step("seen")
              .put("endpoint", e.endpoint().endpoint().value())
              .put("incarnation", e.endpoint().incarnation())
              .put("lost", e.lostAttempts())
              .put("suspects", e.suspects());
      case CrashLogEvent.Suspended e ->
          step("suspended", e.trait(), e.strikes())
              .put("crashes", e.crashes())
              .put("hold_ms", e.hold().toMillis());
      case CrashLogEvent.Told e ->
          step("told", e.suspension().trait(), e.suspension().strikes())
              .put("lifted", e.suspension().lifted());
      case CrashLogEvent.Tried e -> step("tried", e.trait(), e.strikes());
      case CrashLogEvent.Lifted e -> step("lifted", e.trait(), e.strikes());
    };
  }

  private static String counter(CrashLogEvent event) {
    return switch (event) {
      case CrashLogEvent.CrashSeen e -> "endpoint_crashes_seen";
      case CrashLogEvent.Suspended e -> "traits_suspended";
      case CrashLogEvent.Told e -> "suspensions_told";
      case CrashLogEvent.Tried e -> "suspended_traits_tried";
      case CrashLogEvent.Lifted e -> "suspensions_lifted";
    };
  }

  private static ObjectNode step(String name, Trait trait, int strikes) {
    return step(name).put("trait", trait.label()).put("strikes", strikes);
  }

  private static ObjectNode step(String name) {
    return JsonNodeFactory.instance.objectNode().put("crash", name);
  }
}
