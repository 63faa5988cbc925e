package org.cuminwell.shell.http;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cuminwell.shell.metrics.Telemetry;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics} of a process. Thread safe. */
public final class OpsPages {

  private final BooleanSupplier isReady;
  private final Telemetry telemetry;

  /** Holds the status and the plain text of a page. Immutable and thread safe. */
  public record Page(int status, String text) {}

  /** Creates the pages; {@code isReady} returns whether the process can serve requests now. */
  public OpsPages(BooleanSupplier ready, Telemetry telemetry) {
    this.isReady = ready;
    this.telemetry = telemetry;
  }

  /** Returns the page at the path; empty if the path is none of the three. */
  public Optional<Page> find(String path) {
    return switch (path) {
      case "/healthz" -> Optional.of(new Page(200, "alive\n"));
      case "/readyz" ->
          Optional.of(
              isReady.getAsBoolean() ? new Page(200, "ready\n") : new Page(503, "not ready\n"));
      case "/metrics" -> Optional.of(new Page(200, telemetry.prometheusText()));
      default -> Optional.empty();
    };
  }
}
