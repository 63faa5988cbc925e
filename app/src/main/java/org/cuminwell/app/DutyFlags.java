package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.duty.Duty;
import org.cuminwell.core.duty.DutySettings;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.platform.DutyDialect;
import org.cuminwell.shell.control.DutyClientSettings;

/** Holds the flags of a control host that may hold duties. Not thread safe. */
final class DutyFlags {

  static final double DEFAULT_USAGE_WINDOW_SECONDS = 5;

  private static final double MILLIS_PER_SECOND = 1e3;

  @Parameter(
      names = "--duty-api",
      description = "HOST:PORT of the platform's API; without it this host holds no duty")
  private String api = "";

  @Parameter(names = "--duty", description = "duty that one control host at a time holds")
  private List<String> duty = new ArrayList<>();

  @Parameter(
      names = "--duty-calls-per-s",
      description = "calls of duties that all processes together may make per second")
  private double callsPerSecond = 1;

  @Parameter(
      names = "--duty-lease-ms",
      description = "how soon a duty must not return to an earlier holder, in milliseconds")
  private double leaseMillis = 3_000;

  @Parameter(
      names = "--duty-thaw-slack-ms",
      description = "how long a frozen process may take itself for the holder, in milliseconds")
  private double thawSlackMillis = 300;

  @Parameter(
      names = "--usage-window-s",
      description = "the length of the windows of usage reports, in seconds")
  private double usageWindowSeconds = DEFAULT_USAGE_WINDOW_SECONDS;

  @Parameter(
      names = "--usage-late-s",
      description = "how long after the end of its window usage may be reported, in seconds")
  private double usageLateSeconds = 10;

  /** Returns the duties, if there are any. */
  Optional<DutyClientSettings> settings() throws SettingException {
    if (api.isEmpty() || duty.isEmpty()) {
      return Optional.empty();
    }
    Set<Duty> duties = duties(duty);
    try {
      return Optional.of(
          new DutyClientSettings(
              Settings.checked("--duty-api", api, HostAddress::parse),
              new DutySettings(
                  duties,
                  callsPerSecond,
                  millis(leaseMillis),
                  millis(thawSlackMillis),
                  seconds(usageWindowSeconds),
                  seconds(usageLateSeconds)),
              new DutyDialect()));
    } catch (IllegalArgumentException e) {
      throw new SettingException("--duty-*, --usage-*", e);
    }
  }

  /** Returns the duties of these labels. */
  static Set<Duty> duties(List<String> labels) throws SettingException {
    Set<Duty> duties = EnumSet.noneOf(Duty.class);
    for (String label : labels) {
      duties.add(Settings.checked("--duty", label, Duty::ofLabel));
    }
    return duties;
  }

  static Duration seconds(double value) {
    return millis(value * MILLIS_PER_SECOND);
  }

  private static Duration millis(double value) {
    return Duration.ofMillis(Math.round(value));
  }
}
