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

/** Holds that gateways of a data centre agree on endpoints and that lives are never lengthened. */
final class MembershipExchangeTest {

  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);
  private static final int SECOND = 10;
  private static final int GATEWAYS = 3;
  private static final Place PLACE = new Place(new RegionId("coast"), new DataCentreId("dakar"));
  private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 1);

  private record Flight(HostId from, HostId to, MembershipMessage message) {}

  /** Joins the exchanges of three gateways by links that lose, double and reorder messages. */
  private static final class Centre {
    final SplittableRandom random;
    final List<HostId> hosts = Stream.of("g0", "g1", "g2").map(HostId::new).toList();
    final List<EndpointTable> tables = new ArrayList<>();
    final List<MembershipExchange> exchanges = new ArrayList<>();
    final List<Flight> flights = new ArrayList<>();
    final Map<EndpointId, Instant> heardAt = new HashMap<>();
    boolean faulty;
    Instant now = Instant.parse("2026-01-01T00:00:00Z");

    Centre(long seed) {
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

    void announce(int gateway, Announcement news) {
      exchanges.get(gateway).onAnnouncement(news, now);
      heardAt.put(news.endpoint(), now);
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
        tables.forEach(this::checkLives);
      }
    }

    /** An answer takes one step, by which a life may seem longer. */
    private void checkLives(EndpointTable table) {
      for (EndpointTable.Entry entry : table.all()) {
        Instant heard = heardAt.getOrDefault(entry.announcement().endpoint(), Instant.MIN);
        assertThat(entry.receivedAt()).isBeforeOrEqualTo(heard.plus(STEP));
      }
    }

    private void deliver() {
      List<Flight> due = new ArrayList<>(flights);
      flights.clear();
      for (Flight flight : due) {
        switch (faulty ? random.nextInt(10) : 9) {
          case 0, 1 -> {}
          case 2 -> {
            receive(flight);
            receive(flight);
          }
          default -> receive(flight);
        }
      }
    }

    private void receive(Flight flight) {
      MembershipExchange exchange = exchanges.get(hosts.indexOf(flight.to()));
      send(flight.to(), exchange.onMessage(flight.from(), flight.message(), now));
    }

    private void send(HostId from, List<OutgoingMessage> messages) {
      for (OutgoingMessage out : messages) {
        if (out.message() instanceof PeerMessage.Membership m) {
          flights.add(new Flight(from, out.peer(), m.message()));
        }
      }
    }

    long knowing(String endpoint) {
      return tables.stream().filter(t -> t.find(new EndpointId(endpoint)).isPresent()).count();
    }

    long serving(String service) {
      return tables.stream().filter(t -> !t.findServing(service, now).isEmpty()).count();
    }
  }

  static Announcement announcement(String endpoint, long incarnation) {
    return announcement(endpoint, incarnation, 1);
  }

  static Announcement announcement(String endpoint, long incarnation, int port) {
    return new Announcement(
        new EndpointId(endpoint),
        incarnation,
        PLACE,
        new HostAddress(ADDRESS.host(), port),
        Set.of("chat"),
        new VersionId("v1"),
        4,
        TIME_TO_LIVE,
        false);
  }

  static Stream<Arguments> lives() {
    return Stream.of(
        arguments("announced to one gateway: known to all within a second", 1, false, SECOND, 3),
        arguments("announced to two gateways", 2, false, SECOND, 3),
        arguments("silent since: still known before its time", 1, false, 2 * SECOND, 3),
        arguments("silent since: out before five seconds", 1, false, 4 * SECOND, 0),
        arguments("leaves: no new work within three seconds", 1, true, 2 * SECOND, 0),
        arguments("leaves by one of the two it announced to", 2, true, SECOND, 0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("lives")
  void gatewaysAgree(String name, int toldGateways, boolean leaves, int steps, long servedBy) {
    Centre centre = new Centre(1);
    Announcement news = announcement("e1", 1);
    for (int g = 0; g < toldGateways; g++) {
      centre.announce(g, news);
    }
    if (leaves) {
      centre.run(2);
      centre.leave(0, news.endpoint(), 1);
    }
    centre.run(steps);
    assertThat(centre.serving("chat")).isEqualTo(servedBy);
  }

  @ParameterizedTest(name = "every {0} steps")
  @CsvSource({"1", "5", "10", "14", "20"})
  void anEndpointThatGoesOnAnnouncingItselfStaysKnownWhileAnotherFallsSilent(int period) {
    Centre centre = new Centre(1);
    centre.announce(0, announcement("silent", 1, 2));
    for (int step = 0; step < 10 * SECOND; step++) {
      if (step % period == 0) {
        centre.announce(0, announcement("lasting", 1));
      }
      centre.run(1);
      if (step > SECOND) {
        assertThat(centre.knowing("lasting")).isEqualTo(GATEWAYS);
      }
    }
    assertThat(centre.knowing("silent")).isZero();
  }

  @ParameterizedTest(name = "{0} changes told before the answer")
  @ValueSource(ints = {1, 2, 5})
  void anAnswerThatFollowsChangesItAlreadyHoldsEndsTheAsking(int changes) {
    HostId teller = new HostId("teller");
    HostId listener = new HostId("listener");
    var telling = new MembershipExchange(() -> List.of(listener), new EndpointTable());
    var listening = new MembershipExchange(List::of, new EndpointTable());
    Instant now = Instant.ofEpochSecond(1_000);
    telling.onAnnouncement(announcement("first", 1), now);
    telling.tick(now);
    for (int i = 0; i < changes; i++) {
      telling.onAnnouncement(announcement("later" + i, 1, 2 + i), now);
      heard(listening, teller, telling.tick(now.plusMillis(1 + i)), now);
    }
    heard(
        listening,
        teller,
        telling.onMessage(listener, new MembershipMessage.FullUpdateRequest(), now),
        now);

    Instant renewed = now.plus(MembershipExchange.RENEW_PERIOD);
    assertThat(heard(listening, teller, telling.tick(renewed), renewed)).isEmpty();
  }

  private static List<OutgoingMessage> heard(
      MembershipExchange listening, HostId teller, List<OutgoingMessage> messages, Instant now) {
    return messages.stream()
        .map(OutgoingMessage::message)
        .map(PeerMessage.Membership.class::cast)
        .flatMap(m -> listening.onMessage(teller, m.message(), now).stream())
        .toList();
  }

  static LongStream seeds() {
    return LongStream.range(0, 300);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void everyoneConvergesAndWhoLeftStaysAway(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Centre centre = new Centre(seed);
    centre.faulty = true;
    EndpointId leaver = new EndpointId("e0");
    centre.announce(0, announcement("e0", 1));
    centre.run(5);
    centre.leave(1, leaver, 1);
    for (int round = 0; round < 20; round++) {
      if (random.nextInt(3) == 0) {
        centre.announce(random.nextInt(GATEWAYS), announcement("e0", 1));
      }
      centre.announce(random.nextInt(GATEWAYS), announcement("e" + (1 + random.nextInt(3)), 1));
      centre.run(1 + random.nextInt(5));
    }
    centre.faulty = false;
    centre.announce(0, announcement("e1", 2));
    centre.announce(1, announcement("e0", 1));
    centre.run(2 * SECOND);
    assertThat(centre.tables)
        .allSatisfy(
            table ->
                assertThat(table.findServing("chat", centre.now))
                    .extracting(e -> e.announcement().endpoint().value())
                    .contains("e1")
                    .doesNotContain("e0"));
    assertThat(centre.tables)
        .allSatisfy(
            table ->
                assertThat(table.find(new EndpointId("e1")))
                    .hasValueSatisfying(
                        e -> assertThat(e.announcement().incarnation()).isEqualTo(2)));
    centre.run(4 * SECOND);
    assertThat(centre.serving("chat")).isZero();
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void aLateDoubleBringsNothingBack(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Centre centre = new Centre(seed);
    centre.announce(0, announcement("e1", 1));
    centre.run(1 + random.nextInt(3));
    Flight early =
        new Flight(
            centre.hosts.get(0),
            centre.hosts.get(1),
            new MembershipMessage.Update(
                centre.now.toEpochMilli() - 100,
                0,
                1,
                List.of(
                    new MembershipMessage.Item.Announced(
                        announcement("e1", 1), TIME_TO_LIVE, java.util.Optional.empty()))));
    centre.leave(2, new EndpointId("e1"), 1);
    centre.run(SECOND + random.nextInt(5 * SECOND));
    centre.receive(early);
    assertThat(centre.serving("chat")).isZero();
  }
}
