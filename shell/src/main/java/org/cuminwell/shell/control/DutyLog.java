package org.cuminwell.shell.control;

import java.util.Set;
import java.util.function.Supplier;
import org.cuminwell.core.duty.Duty;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.duty.DutyLogEvent;
import org.cuminwell.core.duty.DutyStatus;
import org.cuminwell.shell.metrics.Telemetry;

/** Writes events about duties to the log and the metrics. Thread safe. */
final class DutyLog {

  private static final System.Logger LOG = System.getLogger(DutyLog.class.getName());

  private final Telemetry telemetry;

  DutyLog(Telemetry telemetry) {
    this.telemetry = telemetry;
  }

  /** Registers gauges of who holds what and of the reports that wait. */
  void registerGauges(Set<Duty> duties, Supplier<DutyStatus> status) {
    for (Duty duty : duties) {
      telemetry.gauge("duty_token_" + duty.label(), () -> status.get().token(duty));
      telemetry.gauge("duty_held_" + duty.label(), () -> status.get().isHeldHere(duty) ? 1L : 0L);
    }
    telemetry.gauge("usage_unconfirmed", () -> status.get().unconfirmedReports());
    telemetry.gauge("usage_dropped", () -> status.get().droppedReports());
  }

  void write(DutyLogEvent event) {
    switch (event) {
      case DutyLogEvent.Held e -> {
        telemetry.count("duty_holder_changes", 1);
        LOG.log(
            System.Logger.Level.INFO,
            () ->
                "duty %s is held by %s with token %d since %s"
                    .formatted(
                        e.duty().label(),
                        e.holding().holder(),
                        e.holding().token(),
                        e.holding().takenAt()));
      }
      case DutyLogEvent.CallFailed e -> {
        telemetry.count("duty_calls_failed", 1);
        LOG.log(
            System.Logger.Level.WARNING,
            () ->
                "call %d of duty %s with token %d was not accepted: %s"
                    .formatted(
                        e.call().number(),
                        e.call().duty().label(),
                        e.call().token(),
                        describe(e.result())));
      }
      case DutyLogEvent.UsageReported e -> {
        telemetry.count("usage_windows_reported", 1);
        telemetry.count("usage_windows_late", e.late() ? 1 : 0);
        LOG.log(
            e.late() ? System.Logger.Level.WARNING : System.Logger.Level.DEBUG,
            () ->
                "usage of window %d reported %d ms after its end with token %d"
                    .formatted(e.window(), e.afterEnd().toMillis(), e.token()));
      }
      case DutyLogEvent.GatewaysMissing e -> {
        telemetry.count("usage_windows_incomplete", 1);
        LOG.log(
            System.Logger.Level.WARNING,
            () ->
                "usage of window %d is fixed without the last counts of %d gateways"
                    .formatted(e.window(), e.missing()));
      }
    }
  }

  private static String describe(DutyCall.Result result) {
    return switch (result) {
      case DutyCall.Accepted _ -> "accepted";
      case DutyCall.Superseded _ -> "the platform has seen a higher token";
      case DutyCall.Refused r -> r.reason();
      case DutyCall.Unanswered r -> "no answer: " + r.reason();
      case DutyCall.NotSent _ -> "not sent, since the lease had ended";
    };
  }
}
