package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a caller is not told that its request has not run because the endpoint that ran it
 * responded with status 503.
 */
@Timeout(60)
final class UnconfirmedRefusalTest {

  private static final String BODY = "broken";

  @ParameterizedTest(name = "{0}, relayed {1}: status {2} after {3} attempts")
  @CsvSource({
    "once,             false, 502, 1",
    "once,             true,  502, 1",
    "stream_once,      false, 502, 1",
    "stream_once,      true,  502, 1",
    "idempotent,       false, 503, 3",
    "idempotent,       true,  503, 3",
    "resumable_stream, true,  503, 3",
  })
  void statusThatSaysThatNothingRanIsKeptOnlyWhereThatDoesNotMatter(
      String semantics, boolean relayed, int status, int attempts)
      throws IOException, InterruptedException {
    FakeEndpoint.Script unavailable =
        exchange ->
            exchange.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\n" + BODY);
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(unavailable));
        ForwardFixture fixture =
            ForwardFixture.start(endpoint, RetrySemantics.fromLabel(semantics), relayed)) {
      HttpResponse<InputStream> response = fixture.send(1);

      assertThat(response.statusCode()).isEqualTo(status);
      assertThat(new String(response.body().readAllBytes(), StandardCharsets.UTF_8))
          .isEqualTo(BODY);
      assertThat(endpoint.exchanges).hasSize(attempts);
    }
  }
}
