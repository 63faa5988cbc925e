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
import java.util.concurrent.CountDownLatch;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.FreePorts;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds that a control host that stops answers the calls that it has read. */
final class StoppingControlTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0} calls under way")
  @ValueSource(ints = {1, 20})
  void callsUnderWayAreAnsweredByAStoppingControlHost(int calls) throws Exception {
    HostAddress address = FreePorts.next();
    CountDownLatch read = new CountDownLatch(calls);
    CompletableFuture<org.apache.pekko.http.javadsl.model.HttpResponse> answer =
        new CompletableFuture<>();
    AddedFront front =
        new AddedFront(
            address,
            (_, _) ->
                _ -> {
                  read.countDown();
                  return answer;
                });
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    try (ControlProcess control = ControlProcess.start(settings(front))) {
      HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address)).build();
      List<CompletableFuture<HttpResponse<String>>> answers =
          java.util.stream.IntStream.range(0, calls)
              .mapToObj(_ -> client.sendAsync(request, HttpResponse.BodyHandlers.ofString()))
              .toList();
      read.await();
      Thread stop = Thread.ofVirtual().start(() -> control.stop(TIMEOUT));
      stop.join(Duration.ofMillis(500));
      answer.complete(org.apache.pekko.http.javadsl.model.HttpResponse.create().withStatus(200));
      for (CompletableFuture<HttpResponse<String>> come : answers) {
        assertThat(come.join().statusCode()).isEqualTo(200);
      }
      stop.join();
    }
  }

  private ControlSettings settings(AddedFront front) throws Exception {
    HostId self = new HostId("c0");
    HostAddress peer = FreePorts.next();
    return new ControlSettings(
        self,
        FreePorts.next(),
        peer,
        List.of(peer),
        new AgreementSettings(folder, Set.of(self), true),
        OperatorAccess.open(),
        List.of(front),
        Optional.empty());
  }
}
