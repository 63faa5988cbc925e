package org.cuminwell.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.limit.Floors;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how requests end when their key is withdrawn, at each stage of a request. */
final class KeyWithdrawalTest {

  private static final Place PLACE = new Place(new RegionId("coast"), new DataCentreId("dakar"));
  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);
  private static final HostId CONTROL = new HostId("c0");
  private static final RequestId ID = new RequestId("r1");
  private static final CustomerId MBOUR = new CustomerId("mbour");
  private static final KeyHash KEY = KeyHash.of("key");

  private final Gateway gateway =
      new Gateway(
          new HostDescription(new HostId("g0"), PLACE, ADDRESS, ADDRESS, ADDRESS, 0, false),
          Floors.DEFAULT_MAX_ENTRY_HOSTS,
          new SplittableRandom(1));
  private final List<GatewayAction> actions = new ArrayList<>();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @ParameterizedTest(name = "{0}, key withdrawn: {1}")
  @CsvSource({
    "UNREAD,    true,  not_run",
    "SENT,      true,  may_have_run",
    "STREAMING, true,  ran",
    "UNREAD,    false, ''",
    "SENT,      false, ''",
    "STREAMING, false, ''",
  })
  void runningRequestsEndWhenTheirKeyIsWithdrawn(Stage stage, boolean withdrawn, String verdict) {
    startServing();
    advanceTo(stage);
    actions.clear();
    withdraw(withdrawn ? Set.of() : Set.of(KEY, KeyHash.of("second")));
    assertThat(failures())
        .extracting(failure -> failure.verdict().label())
        .isEqualTo(verdict.isEmpty() ? List.of() : List.of(verdict));
    assertThat(failures()).allSatisfy(f -> assertThat(f.code()).isEqualTo(ErrorCode.INVALID_KEY));
  }

  enum Stage {
    UNREAD,
    SENT,
    STREAMING
  }

  private void startServing() {
    handle(new GatewayEvent.PeerConnected(CONTROL));
    deliver(new DistributionMessage.Full(configuration()));
    handle(new GatewayEvent.Ticked());
    now = now.plusSeconds(3);
    handle(new GatewayEvent.Ticked());
    handle(
        new GatewayEvent.EndpointAnnounced(
            new Announcement(
                new EndpointId("e0"),
                1,
                PLACE,
                ADDRESS,
                Set.of("chat"),
                new VersionId("v1"),
                4,
                Duration.ofSeconds(3),
                false)));
  }

  private void advanceTo(Stage stage) {
    CallHead.Target target = new CallHead.Target.Completion(Optional.empty());
    handle(new GatewayEvent.HeadReceived(new CallHead(ID, target, Optional.of(KEY))));
    assertThat(actions).contains(new GatewayAction.ReadBody(ID));
    if (stage == Stage.UNREAD) {
      return;
    }
    handle(new GatewayEvent.BodyReceived(new CallBody.Completion(ID, "chat", true, 1, 1, 0)));
    now = now.plusSeconds(1);
    handle(new GatewayEvent.Ticked());
    assertThat(actions).hasAtLeastOneElementOfType(GatewayAction.SendToEndpoint.class);
    if (stage == Stage.STREAMING) {
      handle(new GatewayEvent.ResponseStarted(ID, 1));
    }
  }

  private void withdraw(Set<KeyHash> keys) {
    ConfigurationChange change =
        new ConfigurationChange(
            Map.of(MBOUR, Optional.of(customer(keys))), Map.of(), Map.of(), Map.of());
    deliver(new DistributionMessage.Difference(new Revision(1), List.of(change)));
  }

  private List<Failure> failures() {
    List<Failure> failures = new ArrayList<>();
    for (GatewayAction action : actions) {
      if (action instanceof GatewayAction.Refuse refuse) {
        failures.add(refuse.failure());
      } else if (action instanceof GatewayAction.AbortResponse cancel) {
        failures.add(cancel.failure());
      }
    }
    return failures;
  }

  private void deliver(DistributionMessage message) {
    handle(new GatewayEvent.PeerMessageReceived(CONTROL, new PeerMessage.Distribution(message)));
  }

  private void handle(GatewayEvent event) {
    actions.addAll(gateway.handle(event, now));
  }

  private static Configuration configuration() {
    RouteId id = new RouteId("chat");
    Route route =
        new Route(
            id, new Service.Model("chat"), Set.of(), Optional.empty(), Duration.ofSeconds(60));
    Region coast = new Region(PLACE.region(), Set.of(PLACE.dataCentre()));
    return new Configuration(
        new Revision(1),
        Map.of(MBOUR, customer(Set.of(KEY))),
        Map.of(id, route),
        Map.of(coast.id(), coast),
        Map.of());
  }

  private static Customer customer(Set<KeyHash> keys) {
    return new Customer(MBOUR, keys, new TokenLimit(1_000_000, 1_000_000), Set.of());
  }
}
