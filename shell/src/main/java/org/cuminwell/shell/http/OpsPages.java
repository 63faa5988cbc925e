package org.cuminwell.shell.http;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.metrics.Telemetry;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics} of a process. Thread safe. */
public final class OpsPages {

  private final BooleanSupplier isReady;
  private final Telemetry telemetry;

  /** Creates the pages; {@code isReady} returns whether the process can serve requests now. */
  public OpsPages(BooleanSupplier ready, Telemetry telemetry) {
    this.isReady = ready;
    this.telemetry = telemetry;
  }

  /** Returns the page at the path of the request; empty if the path is none of the three. */
  public Optional<HttpResponse> find(HttpRequest request) {
    return switch (request.getUri().path()) {
      case "/healthz" -> Optional.of(HttpResponses.text(200, "alive\n"));
      case "/readyz" ->
          Optional.of(
              isReady.getAsBoolean()
                  ? HttpResponses.text(200, "ready\n")
                  : HttpResponses.text(503, "not ready\n"));
      case "/metrics" -> Optional.of(HttpResponses.text(200, telemetry.prometheusText()));
      default -> Optional.empty();
    };
  }
}
