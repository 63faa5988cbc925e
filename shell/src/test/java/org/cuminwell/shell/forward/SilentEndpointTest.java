package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the response of a sound endpoint is not cut because the endpoint pauses, once no
 * other endpoint can take over.
 */
@Timeout(60)
final class SilentEndpointTest {

  /** Longer than the silence for which another endpoint is tried. */
  private static final Duration PAUSE = Duration.ofMillis(1_800);

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String FIRST = "id: 1\ndata: a\n\n";
  private static final String SECOND = "id: 2\ndata: b\n\n";
  private static final String LAST = "id: 3\ndata: c\n\n";

  private static final Script BREAKS_OFF =
      exchange -> {
        exchange.write(HEAD + FIRST);
        Thread.sleep(100);
        exchange.reset();
      };

  private static final Script PAUSES =
      exchange -> {
        exchange.write(HEAD + SECOND);
        Thread.sleep(PAUSE);
        exchange.write(LAST);
      };

  @ParameterizedTest(name = "relayed {0}")
  @CsvSource({"false", "true"})
  void lastAttemptIsNotCutForItsSilence(boolean relayed) throws IOException, InterruptedException {
    List<Script> scripts = List.of(BREAKS_OFF, BREAKS_OFF, PAUSES);
    try (FakeEndpoint endpoint = FakeEndpoint.start(scripts);
        ForwardFixture fixture =
            ForwardFixture.start(endpoint, new RetrySemantics.ResumableStream(), relayed)) {
      HttpResponse<InputStream> response = fixture.send(100);

      assertThat(new String(response.body().readAllBytes(), StandardCharsets.UTF_8))
          .endsWith(SECOND + LAST);
      assertThat(endpoint.exchanges).hasSize(scripts.size());
    }
  }
}
