package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.Optional;
import org.cuminwell.core.forward.ForwardBounds;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.platform.PlatformDialect;
import org.cuminwell.shell.forward.ForwardSettings;
import org.cuminwell.shell.forward.WarmUpSettings;

/** Holds the flags of a gateway that forwards requests unchanged. Not thread safe. */
final class ForwardFlags {

  /** The part of the time until a key must stop that keys are taken for without news. */
  private static final double LEASE_PART = 0.9;

  @Parameter(
      names = "--forward",
      description = "HOST:PORT for callers whose requests are forwarded unchanged")
  private String forward = "";

  @Parameter(
      names = "--readiness",
      description = "HOST:PORT where this host tells whether it takes callers")
  private String readiness = "";

  @Parameter(
      names = "--revoke-ms",
      description =
          "how soon a withdrawn key must have stopped working, in milliseconds; keys are taken for"
              + " nine tenths of it after the configuration was last known to be the latest")
  private double revokeMillis = ForwardBounds.DEFAULT.keyLease().toMillis();

  @Parameter(
      names = "--retry-ratio",
      description = "retries that all gateways may make for one request, on average")
  private double retryRatio = ForwardBounds.DEFAULT.retryRatio();

  @Parameter(
      names = "--retry-extra",
      description = "retries that all gateways may make beyond that at once")
  private double retryBurst = ForwardBounds.DEFAULT.retryBurst();

  @Parameter(
      names = "--processor-share",
      description =
          "the fraction of a processor core that this host has; with less than half of one it"
              + " refuses requests on their heads while it is at capacity")
  private double processorShare = 1;

  @Parameter(
      names = "--warm-up-requests",
      description = "how many requests this host sends itself before it takes callers")
  private int warmUpRequests = WarmUpSettings.DEFAULT_REQUEST_COUNT;

  @Parameter(
      names = "--warm-up-ms",
      description = "how long that may put off the start, in milliseconds")
  private long warmUpMillis = WarmUpSettings.DEFAULT_TIME_LIMIT.toMillis();

  @Parameter(
      names = "--warm-up-callers",
      description = "loopback HOST:PORT where this host takes its own requests; none: no warm-up")
  private String warmUpCallers = "";

  @Parameter(
      names = "--warm-up-endpoint",
      description = "loopback HOST:PORT where this host answers its own requests")
  private String warmUpEndpoint = "";

  /** Returns the settings, if requests are forwarded. */
  Optional<ForwardSettings> settings() throws SettingException {
    if (forward.isEmpty()) {
      return Optional.empty();
    }
    Optional<HostAddress> readinessAddress =
        readiness.isEmpty()
            ? Optional.empty()
            : Optional.of(Settings.checked("--readiness", readiness, HostAddress::parse));
    return Optional.of(
        new ForwardSettings(
            Settings.checked("--forward", forward, HostAddress::parse),
            readinessAddress,
            new PlatformDialect(),
            bounds(),
            warmUp(),
            processorShare()));
  }

  private double processorShare() throws SettingException {
    if (!(processorShare > 0)) {
      throw new SettingException("--processor-share", "must be more than 0");
    }
    return processorShare;
  }

  private Optional<WarmUpSettings> warmUp() throws SettingException {
    if (warmUpCallers.isEmpty() != warmUpEndpoint.isEmpty()) {
      throw new SettingException("--warm-up-endpoint", "goes with --warm-up-callers; give both");
    }
    if (warmUpCallers.isEmpty()) {
      return Optional.empty();
    }
    HostAddress callerAddress =
        Settings.checked("--warm-up-callers", warmUpCallers, HostAddress::parse);
    HostAddress endpointAddress =
        Settings.checked("--warm-up-endpoint", warmUpEndpoint, HostAddress::parse);
    try {
      return Optional.of(
          new WarmUpSettings(
              warmUpRequests, Duration.ofMillis(warmUpMillis), callerAddress, endpointAddress));
    } catch (IllegalArgumentException e) {
      throw new SettingException("--warm-up-requests, --warm-up-ms", e);
    }
  }

  private ForwardBounds bounds() throws SettingException {
    try {
      Duration lease = Duration.ofMillis((long) (revokeMillis * LEASE_PART));
      return new ForwardBounds(lease, retryRatio, (int) retryBurst);
    } catch (IllegalArgumentException e) {
      throw new SettingException("--revoke-ms, --retry-ratio, --retry-extra", e);
    }
  }
}
