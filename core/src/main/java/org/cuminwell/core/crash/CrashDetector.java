package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recognises, at one gateway, endpoints that ended while they ran its requests.
 *
 * <p>All connections to such an endpoint end within a moment, and nothing that is sent to it later
 * is responded to. Invariant: at most {@link #MAX_ENDPOINTS} are watched, each for {@link #WATCH}.
 * Not thread safe: one thread owns it.
 */
public final class CrashDetector {

  static final int MAX_ENDPOINTS = 256;

  /** How long losses are collected before they are reported. */
  static final Duration SETTLE = Duration.ofMillis(300);

  /** How long losses count towards the same crash. */
  static final Duration WATCH = Duration.ofSeconds(10);

  /** How long bytes may take that an endpoint sent before its connections ended. */
  private static final Duration IN_FLIGHT = Duration.ofSeconds(1);

  private final Map<EndpointIncarnation, Losses> losses = new LinkedHashMap<>();

  private static final class Losses {
    private final Instant since;
    private final String service;
    private final Set<Trait> suspects = new HashSet<>();
    private int attempts;
    private boolean isReported;

    Losses(String service, Instant since) {
      this.service = service;
      this.since = since;
    }
  }

  /**
   * Describes what this gateway lost at an endpoint so far. Immutable and thread safe.
   *
   * @param suspects the traits of the attempts that may be to blame
   */
  public record Report(
      EndpointIncarnation endpoint, String service, int lostAttempts, Set<Trait> suspects) {}

  /**
   * Records an attempt whose connection ended.
   *
   * @param suspects its traits if the endpoint had not begun to respond to it, or only just
   */
  public void recordLost(
      EndpointIncarnation endpoint, String service, List<Trait> suspects, Instant now) {
    Losses lost = losses.computeIfAbsent(endpoint, _ -> new Losses(service, now));
    lost.attempts++;
    lost.suspects.addAll(suspects);
    lost.isReported = false;
    if (losses.size() > MAX_ENDPOINTS) {
      losses.remove(losses.keySet().iterator().next());
    }
  }

  /** Records that an endpoint has responded to an attempt that was sent at {@code sentAt}. */
  public void recordAlive(EndpointIncarnation endpoint, Instant sentAt, Instant now) {
    Losses lost = losses.get(endpoint);
    if (lost != null && (sentAt.isAfter(lost.since) || now.isAfter(lost.since.plus(IN_FLIGHT)))) {
      losses.remove(endpoint);
    }
  }

  /** Returns what was lost at endpoints that seem to have ended, and was not reported yet. */
  public List<Report> takeReports(Instant now) {
    losses.values().removeIf(lost -> !now.isBefore(lost.since.plus(WATCH)));
    return losses.entrySet().stream()
        .filter(entry -> !entry.getValue().isReported)
        .filter(entry -> !now.isBefore(entry.getValue().since.plus(SETTLE)))
        .map(entry -> report(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static Report report(EndpointIncarnation endpoint, Losses lost) {
    lost.isReported = true;
    return new Report(endpoint, lost.service, lost.attempts, Set.copyOf(lost.suspects));
  }
}
