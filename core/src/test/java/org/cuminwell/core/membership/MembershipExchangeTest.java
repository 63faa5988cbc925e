package org.cuminwell.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cuminwell.core.directory.ConnectedPeers;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the gateways of a data centre agree on endpoints, and that no endpoint outlives its
 * announcement.
 */
final class MembershipExchangeTest {

  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);
  private static final int STEPS_PER_SECOND = 10;
  private static final int GATEWAYS = 3;
  private static final Place PLACE = new Place(new RegionId("coast"), new DataCentreId("dakar"));
  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);

  private record InFlightMessage(HostId from, HostId to, MembershipMessage message) {}

  /**
   * Connects the exchanges of three gateways by links that lose, duplicate and reorder messages.
   */
  private static final class SimulatedDataCentre {
    final SplittableRandom random;
    final List<HostId> hosts = Stream.of("g0", "g1", "g2").map(HostId::new).toList();
    final List<EndpointTable> tables = new ArrayList<>();
    final List<MembershipExchange> exchanges = new ArrayList<>();
    final List<InFlightMessage> inFlight = new ArrayList<>();
    final Map<EndpointId, Instant> announcedAt = new HashMap<>();
    boolean faulty;
    Instant now = Instant.parse("2026-01-01T00:00:00Z");

    SimulatedDataCentre(long seed) {
      random = new SplittableRandom(seed);
      for (HostId host : hosts) {
        ConnectedPeers connectedPeers = new ConnectedPeers(PLACE);
        hosts.stream()
            .filter(other -> !other.equals(host))
            .map(id -> new HostDescription(id, PLACE, ADDRESS, ADDRESS, ADDRESS, 0, false))
            .forEach(connectedPeers::addGateway);
        EndpointTable table = new EndpointTable();
        tables.add(table);
        exchanges.add(new MembershipExchange(connectedPeers::neighbours, table));
      }
    }

    void announce(int gateway, Announcement announcement) {
      exchanges.get(gateway).onAnnouncement(announcement, now);
      announcedAt.put(announcement.endpoint(), now);
    }

    void leave(int gateway, EndpointId endpoint, long incarnation) {
      exchanges.get(gateway).onLeaving(endpoint, incarnation, now);
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        now = now.plus(STEP);
        for (int g = 0; g < GATEWAYS; g++) {
          tables.get(g).removeExpired(now);
          send(hosts.get(g), exchanges.get(g).tick(now));
        }
        deliver();
        tables.forEach(this::checkReceiveTimes);
      }
    }

    /**
     * Checks that no table holds an endpoint as received later than it announced itself. A message
     * takes one step to arrive, and the computed time may be late by that step.
     */
    private void checkReceiveTimes(EndpointTable table) {
      for (EndpointTable.Entry entry : table.all()) {
        Instant announced = announcedAt.getOrDefault(entry.announcement().endpoint(), Instant.MIN);
        assertThat(entry.receivedAt()).isBeforeOrEqualTo(announced.plus(STEP));
      }
    }

    /** Delivers the messages in flight; if the links are faulty, loses or duplicates some. */
    private void deliver() {
      List<InFlightMessage> due = new ArrayList<>(inFlight);
      inFlight.clear();
      for (InFlightMessage message : due) {
        switch (faulty ? random.nextInt(10) : 9) {
          case 0, 1 -> {}
          case 2 -> {
            receive(message);
            receive(message);
          }
          default -> receive(message);
        }
      }
    }

    private void receive(InFlightMessage message) {
      MembershipExchange exchange = exchanges.get(hosts.indexOf(message.to()));
      send(message.to(), exchange.onMessage(message.from(), message.message(), now));
    }

    private void send(HostId from, List<OutgoingMessage> messages) {
      for (OutgoingMessage out : messages) {
        if (out.message() instanceof PeerMessage.Membership m) {
          inFlight.add(new InFlightMessage(from, out.peer(), m.message()));
        }
      }
    }

    long countKnowing(String endpoint) {
      return tables.stream().filter(t -> t.find(new EndpointId(endpoint)).isPresent()).count();
    }

    long countServing(String service) {
      return tables.stream().filter(t -> !t.findServing(service, now).isEmpty()).count();
    }
  }

  static Announcement announcement(String endpoint, long incarnation) {
    return announcement(endpoint, incarnation, 1);
  }

  static Announcement announcement(String endpoint, long incarnation, int port) {
    return announcement(endpoint, incarnation, port, TIME_TO_LIVE);
  }

  static Announcement announcement(
      String endpoint, long incarnation, int port, Duration timeToLive) {
    return new Announcement(
        new EndpointId(endpoint),
        incarnation,
        PLACE,
        new HostAddress(ADDRESS.host(), port),
        Set.of("chat"),
        new VersionId("v1"),
        4,
        timeToLive,
        false);
  }

  static Stream<Arguments> announcements() {
    return Stream.of(
        arguments(
            "announced to one gateway: known to all within a second",
            1,
            false,
            STEPS_PER_SECOND,
            3),
        arguments("announced to two gateways", 2, false, STEPS_PER_SECOND, 3),
        arguments("silent since: still known before its time", 1, false, 2 * STEPS_PER_SECOND, 3),
        arguments("silent since: removed before five seconds", 1, false, 4 * STEPS_PER_SECOND, 0),
        arguments("leaves: no new work within three seconds", 1, true, 2 * STEPS_PER_SECOND, 0),
        arguments("leaves by one of the two it announced to", 2, true, STEPS_PER_SECOND, 0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("announcements")
  void gatewaysAgree(String name, int announcedTo, boolean leaves, int steps, long servedBy) {
    SimulatedDataCentre dataCentre = new SimulatedDataCentre(1);
    Announcement announcement = announcement("e1", 1);
    for (int g = 0; g < announcedTo; g++) {
      dataCentre.announce(g, announcement);
    }
    if (leaves) {
      dataCentre.run(2);
      dataCentre.leave(0, announcement.endpoint(), 1);
    }
    dataCentre.run(steps);
    assertThat(dataCentre.countServing("chat")).isEqualTo(servedBy);
  }

  @ParameterizedTest(name = "every {0} steps")
  @CsvSource({"1", "5", "10", "14", "20"})
  void anEndpointThatKeepsAnnouncingItselfStaysKnownWhileAnotherExpires(int period) {
    SimulatedDataCentre dataCentre = new SimulatedDataCentre(1);
    dataCentre.announce(0, announcement("silent", 1, 2));
    for (int step = 0; step < 10 * STEPS_PER_SECOND; step++) {
      if (step % period == 0) {
        dataCentre.announce(0, announcement("lasting", 1));
      }
      dataCentre.run(1);
      if (step > STEPS_PER_SECOND) {
        assertThat(dataCentre.countKnowing("lasting")).isEqualTo(GATEWAYS);
      }
    }
    assertThat(dataCentre.countKnowing("silent")).isZero();
  }

  @ParameterizedTest(name = "{0} changes received before the full update")
  @ValueSource(ints = {1, 2, 5})
  void aFullUpdateAfterChangesItContainsEndsTheRequests(int changes) {
    HostId sender = new HostId("teller");
    HostId receiver = new HostId("listener");
    var sending = new MembershipExchange(() -> List.of(receiver), new EndpointTable());
    var receiving = new MembershipExchange(List::of, new EndpointTable());
    Instant now = Instant.ofEpochSecond(1_000);
    sending.onAnnouncement(announcement("first", 1), now);
    sending.tick(now);
    for (int i = 0; i < changes; i++) {
      sending.onAnnouncement(announcement("later" + i, 1, 2 + i), now);
      deliver(receiving, sender, sending.tick(now.plusMillis(1 + i)), now);
    }
    deliver(
        receiving,
        sender,
        sending.onMessage(receiver, new MembershipMessage.FullUpdateRequest(), now),
        now);

    Instant renewed = now.plus(MembershipExchange.RENEW_PERIOD);
    assertThat(deliver(receiving, sender, sending.tick(renewed), renewed)).isEmpty();
  }

  /** Guards against a peer that connects late and takes an endpoint that left for a ready one. */
  @ParameterizedTest(name = "{0} ms after the announcement")
  @ValueSource(longs = {500, 2_900, 5_100, 7_000, 9_900})
  void aFullUpdateNeverShowsAnEndpointThatLeftAsReady(long millis) {
    HostId sender = new HostId("teller");
    var sending = new MembershipExchange(List::of, new EndpointTable());
    EndpointTable table = new EndpointTable();
    var receiving = new MembershipExchange(List::of, table);
    Instant start = Instant.ofEpochSecond(1_000);
    Announcement lasting = announcement("e1", 1, 1, Duration.ofSeconds(10));
    sending.onAnnouncement(lasting, start);
    sending.onLeaving(lasting.endpoint(), lasting.incarnation(), start);
    Instant end = start.plusMillis(millis);
    for (Instant now = start; now.isBefore(end); now = now.plus(STEP)) {
      sending.tick(now);
    }

    deliver(
        receiving,
        sender,
        sending.onMessage(new HostId("listener"), new MembershipMessage.FullUpdateRequest(), end),
        end);

    assertThat(table.findServing("chat", end)).isEmpty();
  }

  /** Guards against a departure that is repeated for as long as the endpoint's next life lasts. */
  @ParameterizedTest(name = "incarnation of both lives {0}")
  @ValueSource(longs = {0, 7})
  void anEndpointThatIsBackUnderItsIncarnationGetsWorkAgain(long incarnation) {
    HostId receiver = new HostId("listener");
    HostId sender = new HostId("teller");
    var sending = new MembershipExchange(() -> List.of(receiver), new EndpointTable());
    EndpointTable table = new EndpointTable();
    var receiving = new MembershipExchange(List::of, table);
    Instant now = Instant.ofEpochSecond(1_000);
    sending.onAnnouncement(announcement("e1", incarnation), now);
    sending.onLeaving(new EndpointId("e1"), incarnation, now);
    Instant end = now.plus(EndpointTable.DEPARTURE_RETENTION).plus(TIME_TO_LIVE.multipliedBy(4));
    for (; now.isBefore(end); now = now.plusSeconds(1)) {
      sending.onAnnouncement(announcement("e1", incarnation), now);
      table.removeExpired(now);
      deliver(receiving, sender, sending.tick(now), now);
    }

    assertThat(table.findServing("chat", now)).hasSize(1);
  }

  /** Delivers the messages, and returns the receiver's replies. */
  private static List<OutgoingMessage> deliver(
      MembershipExchange receiving, HostId sender, List<OutgoingMessage> messages, Instant now) {
    return messages.stream()
        .map(OutgoingMessage::message)
        .map(PeerMessage.Membership.class::cast)
        .flatMap(m -> receiving.onMessage(sender, m.message(), now).stream())
        .toList();
  }

  static LongStream seeds() {
    return LongStream.range(0, 300);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void allGatewaysConvergeAndALeavingEndpointGetsNoWork(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedDataCentre dataCentre = new SimulatedDataCentre(seed);
    dataCentre.faulty = true;
    EndpointId leaver = new EndpointId("e0");
    dataCentre.announce(0, announcement("e0", 1));
    dataCentre.run(5);
    dataCentre.leave(1, leaver, 1);
    for (int round = 0; round < 20; round++) {
      if (random.nextInt(3) == 0) {
        dataCentre.announce(random.nextInt(GATEWAYS), announcement("e0", 1));
      }
      dataCentre.announce(random.nextInt(GATEWAYS), announcement("e" + (1 + random.nextInt(3)), 1));
      dataCentre.run(1 + random.nextInt(5));
    }
    dataCentre.faulty = false;
    dataCentre.announce(0, announcement("e1", 2));
    dataCentre.announce(1, announcement("e0", 1));
    dataCentre.run(2 * STEPS_PER_SECOND);
    assertThat(dataCentre.tables)
        .allSatisfy(
            table ->
                assertThat(table.findServing("chat", dataCentre.now))
                    .extracting(e -> e.announcement().endpoint().value())
                    .contains("e1")
                    .doesNotContain("e0"));
    assertThat(dataCentre.tables)
        .allSatisfy(
            table ->
                assertThat(table.find(new EndpointId("e1")))
                    .hasValueSatisfying(
                        e -> assertThat(e.announcement().incarnation()).isEqualTo(2)));
    dataCentre.run(4 * STEPS_PER_SECOND);
    assertThat(dataCentre.countServing("chat")).isZero();
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aLateDuplicateDoesNotRestoreALeavingEndpoint(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedDataCentre dataCentre = new SimulatedDataCentre(seed);
    dataCentre.announce(0, announcement("e1", 1));
    dataCentre.run(1 + random.nextInt(3));
    InFlightMessage duplicate =
        new InFlightMessage(
            dataCentre.hosts.get(0),
            dataCentre.hosts.get(1),
            new MembershipMessage.Update(
                dataCentre.now.toEpochMilli() - 100,
                0,
                1,
                List.of(
                    new MembershipMessage.Item.Announced(
                        announcement("e1", 1), TIME_TO_LIVE, java.util.Optional.empty()))));
    dataCentre.leave(2, new EndpointId("e1"), 1);
    dataCentre.run(STEPS_PER_SECOND + random.nextInt(5 * STEPS_PER_SECOND));
    dataCentre.receive(duplicate);
    assertThat(dataCentre.countServing("chat")).isZero();
  }
}
