package org.cuminwell.shell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.limit.Floors;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.shell.FreePorts;
import org.cuminwell.shell.control.AgreementSettings;
import org.cuminwell.shell.control.ControlProcess;
import org.cuminwell.shell.control.ControlSettings;
import org.cuminwell.shell.control.OperatorAccess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds that a gateway starts while cut off, from its disk or its neighbour, over real sockets. */
final class CutOffStartTest {

  private static final String TICKET =
      "{\"schema\":1,\"customers\":{\"mbour\":{\"keys\":[\"k\"],"
          + "\"tokens_per_second\":100,\"burst_tokens\":1000}}}";
  private static final int MAX_TRIES = 600;

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  private final List<AutoCloseable> opened = new ArrayList<>();

  @TempDir private Path folder;

  @ParameterizedTest(name = "from its {0}")
  @CsvSource({"disk, true, false", "neighbour, false, true"})
  void aCutOffGatewayServesAgain(String source, boolean disk, boolean neighbour) throws Exception {
    HostAddress operators = FreePorts.next();
    HostAddress controlPeer = FreePorts.next();
    HostDescription first = describe("g0");
    HostDescription second = describe("g1");
    Optional<Path> data = disk ? Optional.of(folder) : Optional.empty();
    List<HostAddress> known = neighbour ? List.of(first.peerAddress()) : List.of();
    GatewayProcess other = open(GatewayProcess.start(settings(first, controlPeer)));
    ControlProcess control = open(ControlProcess.start(control(operators, controlPeer)));
    GatewayProcess gateway =
        open(GatewayProcess.start(settings(second, controlPeer, List.of(), data)));
    put(operators);
    awaitReady(first);
    awaitReady(second);
    if (disk) {
      awaitKept();
      other.close();
    }
    control.close();
    gateway.close();
    open(GatewayProcess.start(settings(second, controlPeer, known, data)));
    awaitReady(second);
  }

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable process : opened) {
      process.close();
    }
  }

  private <T extends AutoCloseable> T open(T process) {
    opened.add(process);
    return process;
  }

  private void awaitKept() throws InterruptedException {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (new ConfigurationStore(folder).load().isPresent()) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("nothing was kept");
  }

  private void awaitReady(HostDescription host) throws InterruptedException {
    URI ready = URI.create("http://" + host.internalAddress() + "/readyz");
    for (int i = 0; i < MAX_TRIES; i++) {
      if (status(HttpRequest.newBuilder(ready).build()) == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError(host.id() + " is not ready");
  }

  private void put(HostAddress operators) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + operators + "/v1/tickets/1"))
            .PUT(HttpRequest.BodyPublishers.ofString(TICKET))
            .build();
    int status = 0;
    for (int i = 0; i < MAX_TRIES && status != 200; i++) {
      status = status(request);
      Thread.sleep(50);
    }
    assertThat(status).isEqualTo(200);
  }

  private int status(HttpRequest request) throws InterruptedException {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  private ControlSettings control(HostAddress operatorAddress, HostAddress peerAddress) {
    HostId self = new HostId("c0");
    AgreementSettings agreement =
        new AgreementSettings(folder.resolve("control"), Set.of(self), true);
    return new ControlSettings(
        self,
        operatorAddress,
        peerAddress,
        List.of(peerAddress),
        agreement,
        OperatorAccess.unrestricted(),
        List.of(),
        Optional.empty());
  }

  private static GatewaySettings settings(HostDescription self, HostAddress control) {
    return settings(self, control, List.of(), Optional.empty());
  }

  private static GatewaySettings settings(
      HostDescription self, HostAddress control, List<HostAddress> known, Optional<Path> data) {
    return new GatewaySettings(
        self,
        Floors.DEFAULT_MAX_ENTRY_HOSTS,
        List.of(control),
        known,
        Optional.empty(),
        data,
        Optional.empty());
  }

  private static HostDescription describe(String id) throws IOException {
    Place place = new Place(new RegionId("coast"), new DataCentreId("dakar"));
    return new HostDescription(
        new HostId(id), place, FreePorts.next(), FreePorts.next(), FreePorts.next(), 0, false);
  }
}
