package org.cuminwell.core.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;

/**
 * Adds up the counts of the gateways at the holder of the duty.
 *
 * <p>A window is complete once every gateway that is expected to have counts for it has counted
 * past its end. One that is incomplete is reported after a part of the time that a report may take,
 * with what is known. Not thread safe: one thread owns it.
 */
final class UsageCollector {

  /** The part of the allowed lateness for which missing counts are awaited. */
  private static final double WAIT_PART = 0.6;

  /** The time in which every connected gateway answers at least once, asked each second. */
  static final Duration GATHER_TIME = Duration.ofSeconds(2);

  /** Holds what one process of a gateway has counted. */
  private static final class GatewayProcess {
    private final Map<Long, UsageWindow> windows = new HashMap<>();
    private Instant countedUntil = Instant.MIN;
  }

  private record GatewayProcessId(HostId gateway, long incarnation) {}

  /** Holds the report of the next window and how many gateways have not counted past its end. */
  record Report(UsageWindow usage, int missingGateways) {}

  private final DutySettings settings;
  private final Map<GatewayProcessId, GatewayProcess> processes = new HashMap<>();

  UsageCollector(DutySettings settings) {
    this.settings = settings;
  }

  /** Records the counts of a gateway; older counts than those known change nothing. */
  void record(HostId gateway, UsageCounts counts, OptionalLong lastRecorded) {
    GatewayProcess process =
        processes.computeIfAbsent(
            new GatewayProcessId(gateway, counts.incarnation()), _ -> new GatewayProcess());
    if (counts.countedUntil().isBefore(process.countedUntil)) {
      return;
    }
    process.countedUntil = counts.countedUntil();
    for (UsageWindow window : counts.windows()) {
      if (lastRecorded.isEmpty() || window.window() > lastRecorded.getAsLong()) {
        process.windows.put(window.window(), window);
      }
    }
  }

  /** Forgets everything, since another host holds the duty. */
  void clear() {
    processes.clear();
  }

  /**
   * Returns the report of the next window if it can be made now.
   *
   * @param gateways the gateways that are connected
   * @param heldSince since when the counts are gathered
   */
  Optional<Report> nextReport(
      OptionalLong lastRecorded, Collection<HostId> gateways, Instant heldSince, Instant now) {
    forgetRecorded(lastRecorded, now);
    if (now.isBefore(heldSince.plus(GATHER_TIME))) {
      return Optional.empty();
    }
    long window = nextWindow(lastRecorded, heldSince, now);
    Instant end = settings.endOf(window);
    if (now.isBefore(end)) {
      return Optional.empty();
    }
    int missing = countMissing(window, end, gateways);
    Duration wait = Duration.ofMillis((long) (settings.usageLate().toMillis() * WAIT_PART));
    if (missing > 0 && now.isBefore(end.plus(wait))) {
      return Optional.empty();
    }
    return Optional.of(new Report(sum(window), missing));
  }

  /**
   * Returns the window after the last one; the first is the one in which the duty was taken, or the
   * oldest with counts.
   */
  private long nextWindow(OptionalLong lastRecorded, Instant heldSince, Instant now) {
    long current = settings.windowAt(now);
    long oldestKept = current - UsageCounter.KEPT_WINDOWS + 1;
    if (lastRecorded.isPresent()) {
      return Math.max(lastRecorded.getAsLong() + 1, oldestKept);
    }
    long oldestCounted =
        processes.values().stream()
            .flatMap(process -> process.windows.keySet().stream())
            .mapToLong(Long::longValue)
            .min()
            .orElse(current);
    long first = Math.min(oldestCounted, settings.windowAt(heldSince));
    return Math.clamp(first, oldestKept, current);
  }

  private int countMissing(long window, Instant end, Collection<HostId> gateways) {
    Set<HostId> missing = new HashSet<>(gateways);
    processes.forEach(
        (id, process) -> {
          if (process.windows.containsKey(window)) {
            missing.add(id.gateway());
          }
        });
    processes.forEach(
        (id, process) -> {
          if (!process.countedUntil.isBefore(end)) {
            missing.remove(id.gateway());
          }
        });
    return missing.size();
  }

  private UsageWindow sum(long window) {
    Map<CustomerId, Long> sums = new TreeMap<>();
    for (GatewayProcess process : processes.values()) {
      UsageWindow counted = process.windows.get(window);
      if (counted != null) {
        counted.counts().forEach((customer, count) -> sums.merge(customer, count, Long::sum));
      }
    }
    return UsageWindow.of(window, sums);
  }

  private void forgetRecorded(OptionalLong lastRecorded, Instant now) {
    long oldestKept = settings.windowAt(now) - UsageCounter.KEPT_WINDOWS;
    processes
        .values()
        .forEach(
            process ->
                process
                    .windows
                    .keySet()
                    .removeIf(
                        window ->
                            window <= oldestKept
                                || (lastRecorded.isPresent()
                                    && window <= lastRecorded.getAsLong())));
    Instant silentBefore = settings.endOf(oldestKept);
    processes
        .values()
        .removeIf(
            process -> process.windows.isEmpty() && process.countedUntil.isBefore(silentBefore));
  }
}
