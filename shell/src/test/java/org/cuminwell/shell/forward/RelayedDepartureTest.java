package org.cuminwell.shell.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.duty.MonotonicTime;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.HttpEventLoops;
import org.cuminwell.shell.exchange.HttpServer;
import org.cuminwell.shell.exchange.ResponseStart;
import org.cuminwell.shell.gateway.FakeEndpoint;
import org.cuminwell.shell.http.HttpResponses;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a gateway that relays sends nothing more to an endpoint once it has passed on that
 * the endpoint leaves, also for gateways that have not heard of it.
 */
@Timeout(60)
final class RelayedDepartureTest {

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<EndpointIncarnation> observed = new CopyOnWriteArrayList<>();

  @ParameterizedTest(name = "leaves {0}, next request for incarnation {1}: verdict {2}, {3} sent")
  @CsvSource({"true, 7, not_run, 1", "true, 8, '', 2", "false, 7, '', 2", "true, '', '', 2"})
  void endpointThatLeavesGetsNoFurtherRelayedRequest(
      boolean leaves, String incarnation, String verdict, int sent)
      throws IOException, InterruptedException {
    String header = leaves ? PlainDialect.LEAVING + ": true\r\n" : "";
    String response = "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 0\r\n\r\n";
    HostAddress address = FreePorts.next();
    try (FakeEndpoint endpoint = FakeEndpoint.start(List.of(exchange -> exchange.write(response)));
        HttpEventLoops loops = new HttpEventLoops()) {
      startRelay(loops, address);
      HttpResponse<String> first = send(address, endpoint.port(), "7");
      HttpResponse<String> second = send(address, endpoint.port(), incarnation);

      assertThat(first.statusCode()).isEqualTo(200);
      assertThat(second.headers().firstValue(HttpResponses.VERDICT_HEADER).orElse(""))
          .isEqualTo(verdict);
      assertThat(second.headers().firstValue("Cuminwell-Relay-Leaving").isPresent())
          .isEqualTo(!verdict.isEmpty());
      assertThat(endpoint.exchanges).hasSize(sent);
      assertThat(observed).hasSize(leaves ? (incarnation.equals("8") ? 2 : 1) : 0);
    }
  }

  private void startRelay(HttpEventLoops loops, HostAddress address) {
    MonotonicTime time = new MonotonicTime();
    RelayFront.Departures departures =
        new RelayFront.Departures() {
          @Override
          public boolean saysLeaving(ResponseStart response) {
            return response.headers().contains(PlainDialect.LEAVING);
          }

          @Override
          public void onObserved(EndpointIncarnation endpoint) {
            observed.add(endpoint);
          }
        };
    RelayFront relay =
        new RelayFront(
            new ClientConnections(loops, time, 512),
            time,
            (_, _) -> {
              throw new IllegalStateException("only marked requests are expected");
            },
            departures);
    HttpServer.bind(loops, address, relay::newConnection);
  }

  private HttpResponse<String> send(HostAddress relay, int endpointPort, String incarnation)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + relay + "/work/1"))
            .header("Cuminwell-Relay-To", "127.0.0.1:" + endpointPort)
            .header("Cuminwell-Relay-Endpoint", new EndpointId("e1").value())
            .POST(HttpRequest.BodyPublishers.ofString("{}"));
    if (!incarnation.isEmpty()) {
      request.header("Cuminwell-Relay-Incarnation", incarnation);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
