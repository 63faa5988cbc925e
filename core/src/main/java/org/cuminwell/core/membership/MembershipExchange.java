package org.cuminwell.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cuminwell.core.membership.MembershipMessage.AskAll;
import org.cuminwell.core.membership.MembershipMessage.Heard;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.Outgoing;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Exchanges what endpoints said between the processes that they may speak to.
 *
 * <p>Each process tells its audience only what it heard itself, by differences between versions:
 * what is new at once, what was merely renewed every {@link #RENEW_PERIOD}. Who misses a version
 * asks for everything. Invariant: news that is passed on never lengthens a life beyond what its
 * source heard; a message that is older than one already taken is dropped. Not thread safe: one
 * thread owns it.
 */
public final class MembershipExchange {

  /** How often lives that go on are renewed, and loads told. */
  static final Duration RENEW_PERIOD = Duration.ofSeconds(1);

  /** How long it is told that an endpoint has left. */
  static final Duration LEFT_PERIOD = Duration.ofSeconds(5);

  private final Supplier<List<HostId>> audience;
  private final EndpointTable table;
  private final TreeMap<EndpointId, Own> own = new TreeMap<>();
  private final TreeMap<EndpointId, OwnLeft> left = new TreeMap<>();
  private final Map<HostId, Version> seen = new HashMap<>();
  private long start;
  private long version;
  private Instant renewedAt = Instant.MIN;

  /** Holds what this gateway heard itself of one endpoint. */
  private record Own(
      Announcement announcement, Instant heardAt, Optional<LoadReport> load, boolean isNew) {

    Duration remaining(Instant now) {
      return announcement.timeToLive().minus(Duration.between(heardAt, now));
    }
  }

  private static boolean isLater(Announcement known, Announcement news) {
    return known.incarnation() == news.incarnation() && known.sequence() > news.sequence();
  }

  private record OwnLeft(long incarnation, Instant at, boolean isNew) {}

  private record Version(long start, long to) {}

  /**
   * Makes the exchange of a process that fills this table.
   *
   * @param audience tells which processes in contact are told what endpoints said here
   */
  public MembershipExchange(Supplier<List<HostId>> audience, EndpointTable table) {
    this.audience = audience;
    this.table = table;
  }

  /** Takes in an announcement that an endpoint made to this gateway. */
  public void announced(Announcement news, Instant now) {
    table.announce(news, now);
    Own old = own.get(news.endpoint());
    if (old != null && old.announcement().incarnation() > news.incarnation()) {
      return;
    }
    boolean isNew = old == null || old.isNew() || !old.announcement().isRenewedBy(news);
    Optional<LoadReport> load =
        Optional.ofNullable(old)
            .filter(o -> o.announcement().incarnation() == news.incarnation())
            .flatMap(Own::load);
    if (old != null && isLater(old.announcement(), news)) {
      return;
    }
    own.put(news.endpoint(), new Own(news, now, load, isNew));
  }

  /** Takes in a load report that an endpoint made to this gateway. */
  public void reported(LoadReport report) {
    table.report(report);
    own.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            old.announcement().incarnation() == report.incarnation()
                ? new Own(old.announcement(), old.heardAt(), Optional.of(report), old.isNew())
                : old);
  }

  /** Takes in that an endpoint said to this gateway that it leaves. */
  public void leaving(EndpointId endpoint, long incarnation, Instant now) {
    table.leave(endpoint, incarnation, now);
    left.put(endpoint, new OwnLeft(incarnation, now, true));
  }

  /** Takes in that a peer can't be reached; its versions may begin anew. */
  public void lost(HostId peer) {
    seen.remove(peer);
  }

  /** Returns what to say to a neighbour that has just been reached. */
  public List<Outgoing> met(HostId neighbour) {
    return List.of(tell(neighbour, new AskAll()));
  }

  /** Takes in a message of a neighbour, and returns what to say to whom. */
  public List<Outgoing> hear(HostId peer, MembershipMessage message, Instant now) {
    return switch (message) {
      case AskAll ask -> List.of(tell(peer, new Heard(start, 0, version, everything(now))));
      case Heard news -> hear(peer, news, now);
    };
  }

  /** Does what is due by now, and returns what to say to whom. */
  public List<Outgoing> tick(Instant now) {
    if (start == 0) {
      start = now.toEpochMilli();
    }
    own.values().removeIf(entry -> !entry.remaining(now).isPositive());
    left.values().removeIf(entry -> !now.isBefore(entry.at().plus(LEFT_PERIOD)));
    boolean renew = renewedAt.equals(Instant.MIN) || !now.isBefore(renewedAt.plus(RENEW_PERIOD));
    List<Item> items = renew ? renewals(now) : news(now);
    if (renew) {
      renewedAt = now;
    }
    own.replaceAll((id, o) -> new Own(o.announcement(), o.heardAt(), o.load(), false));
    left.replaceAll((id, l) -> new OwnLeft(l.incarnation(), l.at(), false));
    if (items.isEmpty()) {
      return List.of();
    }
    Heard message = new Heard(start, version, ++version, items);
    return audience.get().stream().map(peer -> tell(peer, message)).toList();
  }

  private List<Outgoing> hear(HostId peer, Heard news, Instant now) {
    Version old = seen.getOrDefault(peer, new Version(0, 0));
    boolean isLate =
        news.start() < old.start() || (news.start() == old.start() && news.to() <= old.to());
    if (isLate && news.from() != 0) {
      return List.of();
    }
    if (news.start() < old.start()) {
      return List.of();
    }
    boolean isGap = news.from() != 0 && (news.start() != old.start() || news.from() != old.to());
    if (!isLate) {
      seen.put(peer, new Version(news.start(), news.to()));
    }
    boolean unknown = false;
    for (Item item : news.items()) {
      unknown |= !take(item, now);
    }
    return isGap || unknown ? List.of(tell(peer, new AskAll())) : List.of();
  }

  /** Takes one item in, and returns whether it could be understood. */
  private boolean take(Item item, Instant now) {
    return switch (item) {
      case Item.Announced i -> {
        hear(i.announcement(), i.remaining(), now);
        i.load().ifPresent(table::report);
        yield true;
      }
      case Item.Renewed i -> {
        Optional<Announcement> known =
            table
                .find(i.endpoint())
                .map(EndpointTable.Entry::announcement)
                .filter(a -> a.incarnation() >= i.incarnation());
        known
            .filter(a -> a.incarnation() == i.incarnation())
            .ifPresent(a -> hear(a, i.remaining(), now));
        i.load().ifPresent(table::report);
        yield known.isPresent();
      }
      case Item.Left i -> {
        table.leave(i.endpoint(), i.incarnation(), now);
        yield true;
      }
    };
  }

  private void hear(Announcement news, Duration remaining, Instant now) {
    Duration left = remaining.compareTo(news.timeToLive()) < 0 ? remaining : news.timeToLive();
    table.hear(news, now.minus(news.timeToLive().minus(left)));
  }

  private List<Item> everything(Instant now) {
    List<Item> items = new ArrayList<>();
    own.values().stream()
        .filter(o -> o.remaining(now).isPositive())
        .forEach(o -> items.add(new Item.Announced(o.announcement(), o.remaining(now), o.load())));
    left.forEach((id, l) -> items.add(new Item.Left(id, l.incarnation())));
    return items;
  }

  private List<Item> renewals(Instant now) {
    List<Item> items = new ArrayList<>();
    own.values().forEach(o -> items.add(o.isNew() ? announced(o, now) : renewed(o, now)));
    left.forEach((id, l) -> items.add(new Item.Left(id, l.incarnation())));
    return items;
  }

  private List<Item> news(Instant now) {
    List<Item> items = new ArrayList<>();
    own.values().stream().filter(Own::isNew).forEach(o -> items.add(announced(o, now)));
    left.forEach(
        (id, l) -> {
          if (l.isNew()) {
            items.add(new Item.Left(id, l.incarnation()));
          }
        });
    return items;
  }

  private static Item announced(Own o, Instant now) {
    return new Item.Announced(o.announcement(), o.remaining(now), o.load());
  }

  private static Item renewed(Own o, Instant now) {
    return new Item.Renewed(
        o.announcement().endpoint(), o.announcement().incarnation(), o.remaining(now), o.load());
  }

  private static Outgoing tell(HostId peer, MembershipMessage message) {
    return new Outgoing(peer, new PeerMessage.Membership(message));
  }
}
