package org.cuminwell.shell.http;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.metrics.Telemetry;

/** Answers {@code /healthz}, {@code /readyz} and {@code /metrics} for any process. Thread safe. */
public final class OpsPages {

  private final BooleanSupplier isReady;
  private final Telemetry telemetry;

  /** Makes the pages of a process; {@code ready} says whether it can do its work now. */
  public OpsPages(BooleanSupplier ready, Telemetry telemetry) {
    this.isReady = ready;
    this.telemetry = telemetry;
  }

  /** Returns the page that the request asks for, if it is one of these. */
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
