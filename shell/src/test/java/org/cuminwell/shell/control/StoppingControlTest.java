package org.cuminwell.shell.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a stopping control host still answers the requests that it has read. */
final class StoppingControlTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0} pending requests")
  @ValueSource(ints = {1, 20})
  void pendingRequestsAreAnsweredWhenControlHostStops(int requestCount) throws Exception {
    HostAddress address = FreePorts.next();
    CountDownLatch read = new CountDownLatch(requestCount);
    CompletableFuture<ResponseMessage> frontEndResponse = new CompletableFuture<>();
    AdditionalFrontEnd front =
        new AdditionalFrontEnd(
            address,
            _ ->
                new FrontEndHandler() {
                  @Override
                  public CompletionStage<ResponseMessage> handle(FrontEndRequest request) {
                    read.countDown();
                    return frontEndResponse;
                  }

                  @Override
                  public ResponseMessage unreadable(Failure failure) {
                    return ResponseMessage.empty(400);
                  }
                });
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    try (ControlProcess control = ControlProcess.start(settings(front))) {
      HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address)).build();
      List<CompletableFuture<HttpResponse<String>>> responses =
          java.util.stream.IntStream.range(0, requestCount)
              .mapToObj(_ -> client.sendAsync(request, HttpResponse.BodyHandlers.ofString()))
              .toList();
      read.await();
      Thread stop = Thread.ofVirtual().start(() -> control.stop(TIMEOUT));
      stop.join(Duration.ofMillis(500));
      frontEndResponse.complete(ResponseMessage.empty(200));
      for (CompletableFuture<HttpResponse<String>> response : responses) {
        assertThat(response.join().statusCode()).isEqualTo(200);
      }
      stop.join();
    }
  }

  private ControlSettings settings(AdditionalFrontEnd front) throws Exception {
    HostId self = new HostId("c0");
    HostAddress peerAddress = FreePorts.next();
    return new ControlSettings(
        self,
        FreePorts.next(),
        peerAddress,
        List.of(peerAddress),
        new AgreementSettings(folder, Set.of(self), true),
        OperatorAccess.unrestricted(),
        List.of(front),
        Optional.empty());
  }
}
