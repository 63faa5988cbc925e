package org.cuminwell.shell.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that nothing is kept for callers that have left. */
@Timeout(60)
final class DepartedCallerTest {

  private static final int CALLERS = 20;
  private static final int TOKENS = 100;

  /** What the endpoint has sent when the callers leave. */
  record Case(String sent, RetrySemantics retrySemantics, boolean relayed) {}

  static Stream<Case> connectionsOfCallersThatLeftAreClosed() {
    return Stream.of(
            "", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
        .flatMap(
            sent ->
                Stream.of(
                    new Case(sent, new RetrySemantics.AtMostOnce(), false),
                    new Case(sent, new RetrySemantics.ResumableStream(), false),
                    new Case(sent, new RetrySemantics.ResumableStream(), true)));
  }

  @ParameterizedTest
  @MethodSource
  void connectionsOfCallersThatLeftAreClosed(Case c) throws IOException, InterruptedException {
    FakeEndpoint.Script silent =
        exchange -> {
          exchange.write(c.sent());
          Thread.sleep(Long.MAX_VALUE);
        };
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(silent));
        ForwardFixture forward = ForwardFixture.start(endpoint, c.retrySemantics(), c.relayed())) {
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(forward.sendOnly(TOKENS));
      }
      while (endpoint.exchanges.size() < CALLERS) {
        Thread.sleep(5);
      }
      for (Socket caller : callers) {
        caller.close();
      }
      while (forward.openConnections() > 0) {
        Thread.sleep(5);
      }
    }
  }
}
