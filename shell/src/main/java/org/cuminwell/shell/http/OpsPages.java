package org.cuminwell.shell.http;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.shell.metrics.Telemetry;

/** Answers {@code /healthz}, {@code /readyz} and {@code /metrics} for any process. Thread safe. */
public final class OpsPages {

  private final BooleanSupplier ready;
  private final Telemetry telemetry;

  /** Makes the pages of a process; {@code ready} says whether it can do its work now. */
  public OpsPages(BooleanSupplier ready, Telemetry telemetry) {
    this.ready = ready;
    this.telemetry = telemetry;
  }

  /** Returns the page that the request asks for, if it is one of these. */
  public Optional<HttpResponse> find(HttpRequest request) {
    return switch (request.getUri().path()) {
      case "/healthz" -> Optional.of(HttpAnswers.text(200, "alive\n"));
      case "/readyz" ->
          Optional.of(
              ready.getAsBoolean()
                  ? HttpAnswers.text(200, "ready\n")
                  : HttpAnswers.text(503, "not ready\n"));
      case "/metrics" -> Optional.of(HttpAnswers.text(200, telemetry.prometheusText()));
      default -> Optional.empty();
    };
  }
}
