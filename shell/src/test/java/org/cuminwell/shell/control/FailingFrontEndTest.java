package org.cuminwell.shell.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that a front end can't handle getting no answer. */
@Timeout(60)
final class FailingFrontEndTest {

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(strings = {"an unexpected value", "another"})
  void requestThatCannotBeHandledIsAnswered(String message) throws Exception {
    HostAddress address = FreePorts.next();
    AdditionalFrontEnd front = new AdditionalFrontEnd(address, _ -> failing(message));
    try (ControlProcess _ = ControlProcess.start(settings(front))) {
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address)).build();
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      assertThat(response.statusCode()).isEqualTo(400);
    }
  }

  private static FrontEndHandler failing(String message) {
    return new FrontEndHandler() {
      @Override
      public CompletionStage<ResponseMessage> handle(FrontEndRequest request) {
        throw new IllegalStateException(message);
      }

      @Override
      public ResponseMessage unreadable(Failure failure) {
        return ResponseMessage.empty(failure.code().httpStatus());
      }
    };
  }

  private ControlSettings settings(AdditionalFrontEnd front) {
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
