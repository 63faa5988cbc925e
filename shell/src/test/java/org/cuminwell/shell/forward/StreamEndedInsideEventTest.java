package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that a response without a length that broke off never looks complete to the caller. */
@Timeout(60)
final class StreamEndedInsideEventTest {

  private static final int TOKENS = 100;
  private static final String EVENT = "id: 1\ndata: a\n\n";

  /** How the endpoint says where the body ends. */
  enum Framing {
    UNTIL_CLOSE("text/event-stream", false),
    UNTIL_CLOSE_UNTYPED("application/octet-stream", false),
    CHUNKED("text/event-stream", true),
    PLAIN_UNTIL_CLOSE("text/plain", false);

    private final String type;
    private final boolean isChunked;

    Framing(String type, boolean isChunked) {
      this.type = type;
      this.isChunked = isChunked;
    }

    String head() {
      return "HTTP/1.1 200 OK\r\nContent-Type: "
          + type
          + "\r\nConnection: close\r\n"
          + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    }

    String body(String bytes) {
      return isChunked ? Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n" : bytes;
    }

    String end() {
      return isChunked ? "0\r\n\r\n" : "";
    }
  }

  /** Where and how the endpoint ends its response. */
  enum End {
    AFTER_EVENT(EVENT, false),
    AFTER_CRLF_EVENT("id: 1\r\ndata: a\r\n\r\n", false),
    INSIDE_EVENT(EVENT + "id: 2\ndata:", false),
    AFTER_LINE(EVENT + "id: 2\n", false),
    RESET_AFTER_EVENT(EVENT, true),
    RESET_INSIDE_EVENT(EVENT + "id: 2\ndata:", true);

    private final String bytes;
    private final boolean isReset;

    End(String bytes, boolean isReset) {
      this.bytes = bytes;
      this.isReset = isReset;
    }

    Script script(Framing framing) {
      return exchange -> {
        exchange.write(framing.head() + framing.body(bytes));
        if (isReset) {
          Thread.sleep(200);
          exchange.reset();
        } else {
          exchange.write(framing.end());
        }
      };
    }
  }

  @ParameterizedTest(name = "{0}, {1}, {2}, relayed {3}: complete {4}")
  @CsvSource({
    "stream_once,      UNTIL_CLOSE,         AFTER_EVENT,        false, true",
    "stream_once,      UNTIL_CLOSE,         AFTER_EVENT,        true,  true",
    "stream_once,      UNTIL_CLOSE,         AFTER_CRLF_EVENT,   false, true",
    "stream_once,      UNTIL_CLOSE,         INSIDE_EVENT,       false, false",
    "stream_once,      UNTIL_CLOSE,         INSIDE_EVENT,       true,  false",
    "stream_once,      UNTIL_CLOSE,         AFTER_LINE,         false, false",
    "stream_once,      UNTIL_CLOSE,         RESET_AFTER_EVENT,  false, false",
    "stream_once,      UNTIL_CLOSE,         RESET_AFTER_EVENT,  true,  false",
    "stream_once,      UNTIL_CLOSE,         RESET_INSIDE_EVENT, false, false",
    "stream_once,      UNTIL_CLOSE_UNTYPED, AFTER_EVENT,        false, true",
    "stream_once,      UNTIL_CLOSE_UNTYPED, INSIDE_EVENT,       false, false",
    "stream_once,      UNTIL_CLOSE_UNTYPED, INSIDE_EVENT,       true,  false",
    "stream_once,      CHUNKED,             AFTER_EVENT,        false, true",
    "stream_once,      CHUNKED,             INSIDE_EVENT,       false, false",
    "stream_once,      CHUNKED,             INSIDE_EVENT,       true,  false",
    "resumable_stream, UNTIL_CLOSE,         AFTER_EVENT,        false, true",
    "resumable_stream, UNTIL_CLOSE,         AFTER_CRLF_EVENT,   true,  true",
    "resumable_stream, UNTIL_CLOSE,         INSIDE_EVENT,       false, false",
    "resumable_stream, UNTIL_CLOSE,         INSIDE_EVENT,       true,  false",
    "resumable_stream, UNTIL_CLOSE,         RESET_AFTER_EVENT,  true,  false",
    "idempotent,       PLAIN_UNTIL_CLOSE,   INSIDE_EVENT,       false, true",
    "idempotent,       PLAIN_UNTIL_CLOSE,   INSIDE_EVENT,       true,  true",
    "idempotent,       PLAIN_UNTIL_CLOSE,   RESET_AFTER_EVENT,  false, false",
    "idempotent,       PLAIN_UNTIL_CLOSE,   RESET_AFTER_EVENT,  true,  false",
    "once,             PLAIN_UNTIL_CLOSE,   RESET_AFTER_EVENT,  false, false",
  })
  void responsesThatBrokeOffDoNotLookComplete(
      String repeat, Framing framing, End end, boolean relayed, boolean complete)
      throws IOException, InterruptedException {
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(end.script(framing)));
        ForwardFixture fixture =
            ForwardFixture.start(endpoint, RetrySemantics.fromLabel(repeat), relayed)) {
      assertThat(receivesWholeBody(fixture, end.bytes)).isEqualTo(complete);
    }
  }

  private static boolean receivesWholeBody(ForwardFixture fixture, String expected)
      throws InterruptedException {
    try {
      HttpResponse<InputStream> response = fixture.send(TOKENS);
      String body = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
      if (response.statusCode() == 200) {
        assertThat(body).isEqualTo(expected);
      }
      return response.statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
