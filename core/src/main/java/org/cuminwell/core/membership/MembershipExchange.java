package org.cuminwell.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.cuminwell.core.membership.MembershipMessage.FullUpdateRequest;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.membership.MembershipMessage.Update;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Exchanges what endpoints said between the processes that they may speak to.
 *
 * <p>Each process tells its audience only what it heard itself, by differences between versions:
 * what is new at once, and every {@link #RENEW_PERIOD} that all the rest was renewed, so that a
 * message does not grow with the number of endpoints. Who misses a version asks for everything.
 * Invariant: news that is passed on never lengthens a life beyond what its source heard; a message
 * that is older than one already taken is dropped. Not thread safe: one thread owns it.
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
  private final Map<HostId, Renewable> renewable = new HashMap<>();
  private long start;
  private long version;
  private Instant renewedAt = Instant.MIN;

  /**
   * Holds what this gateway heard itself of one endpoint.
   *
   * @param isNew whether the audience has yet to be told of it
   * @param isQuiet whether the audience was last told that it is quiet
   */
  private record Own(
      Announcement announcement,
      Instant heardAt,
      Optional<LoadReport> load,
      boolean isNew,
      boolean isQuiet) {

    Duration age(Instant now) {
      return Duration.between(heardAt, now);
    }

    Duration remaining(Instant now) {
      return announcement.timeToLive().minus(age(now));
    }

    /** Returns whether it has been silent for half of its time to live. */
    boolean isSilent(Instant now) {
      return age(now).multipliedBy(2).compareTo(announcement.timeToLive()) > 0;
    }

    Own reporting(LoadReport report) {
      return new Own(announcement, heardAt, Optional.of(report), isNew, isQuiet);
    }

    Own told(boolean asQuiet) {
      return new Own(announcement, heardAt, load, false, asQuiet);
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
  public void onAnnouncement(Announcement news, Instant now) {
    table.recordAnnouncement(news, now);
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
    own.put(news.endpoint(), new Own(news, now, load, isNew, old != null && old.isQuiet()));
  }

  /** Takes in a load report that an endpoint made to this gateway. */
  public void onLoadReport(LoadReport report) {
    table.report(report);
    own.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            old.announcement().incarnation() == report.incarnation() ? old.reporting(report) : old);
  }

  /** Takes in that an endpoint said to this gateway that it leaves. */
  public void onLeaving(EndpointId endpoint, long incarnation, Instant now) {
    table.leave(endpoint, incarnation, now);
    left.put(endpoint, new OwnLeft(incarnation, now, true));
  }

  /** Takes in that a peer can't be reached; its versions may begin anew. */
  public void onDisconnected(HostId peer) {
    seen.remove(peer);
    renewable.remove(peer);
  }

  /** Returns what to say to a neighbour that has just been reached. */
  public List<OutgoingMessage> onConnected(HostId neighbour) {
    return List.of(tell(neighbour, new FullUpdateRequest()));
  }

  /** Takes in a message of a neighbour, and returns what to say to whom. */
  public List<OutgoingMessage> onMessage(HostId peer, MembershipMessage message, Instant now) {
    return switch (message) {
      case FullUpdateRequest ask ->
          List.of(tell(peer, new Update(start, 0, version, everything(now))));
      case Update news -> hear(peer, news, now);
    };
  }

  /** Does what is due by now, and returns what to say to whom. */
  public List<OutgoingMessage> tick(Instant now) {
    if (start == 0) {
      start = now.toEpochMilli();
    }
    List<Item> items = new ArrayList<>();
    dropExpired(now, items);
    left.values().removeIf(entry -> !now.isBefore(entry.at().plus(LEFT_PERIOD)));
    boolean renew = renewedAt.equals(Instant.MIN) || !now.isBefore(renewedAt.plus(RENEW_PERIOD));
    if (renew) {
      renewedAt = now;
      addRenewals(now, items);
    } else {
      addNews(now, items);
    }
    left.replaceAll((id, l) -> new OwnLeft(l.incarnation(), l.at(), false));
    if (items.isEmpty()) {
      return List.of();
    }
    Update message = new Update(start, version, ++version, items);
    return audience.get().stream().map(peer -> tell(peer, message)).toList();
  }

  private List<OutgoingMessage> hear(HostId peer, Update news, Instant now) {
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
    boolean tellsEverything =
        news.from() == 0 && (news.start() > old.start() || news.to() >= old.to());
    Renewable known = renewable.computeIfAbsent(peer, _ -> new Renewable());
    if (isGap) {
      known.missed();
    } else if (tellsEverything) {
      known.begin();
    }
    if (!isLate || tellsEverything) {
      seen.put(peer, new Version(news.start(), news.to()));
      news.items().forEach(known::take);
    }
    boolean unknown = false;
    for (Item item : news.items()) {
      unknown |= !take(item, known, now);
    }
    return isGap || unknown ? List.of(tell(peer, new FullUpdateRequest())) : List.of();
  }

  /** Takes one item in, and returns whether it could be understood. */
  private boolean take(Item item, Renewable known, Instant now) {
    return switch (item) {
      case Item.Announced i -> {
        hear(i.announcement(), i.remaining(), now);
        i.load().ifPresent(table::report);
        yield true;
      }
      case Item.Renewed i -> {
        Optional<Announcement> announcement = find(i.endpoint(), i.incarnation());
        announcement
            .filter(a -> a.incarnation() == i.incarnation())
            .ifPresent(a -> hear(a, i.remaining(), now));
        i.load().ifPresent(table::report);
        yield announcement.isPresent();
      }
      case Item.AllRenewed i -> known.renewAll(life -> renew(life, now.minus(i.age())));
      case Item.Stale i -> true;
      case Item.Leaving i -> {
        table.leave(i.endpoint(), i.incarnation(), now);
        yield true;
      }
    };
  }

  /** Renews a life that was heard at the time, and returns whether it is known. */
  private boolean renew(Renewable.Life life, Instant heardAt) {
    Optional<Announcement> known = find(life.endpoint(), life.incarnation());
    known.filter(a -> a.incarnation() == life.incarnation()).ifPresent(a -> table.hear(a, heardAt));
    return known.isPresent();
  }

  /** Returns what is known of this life of the endpoint or a later one. */
  private Optional<Announcement> find(EndpointId endpoint, long incarnation) {
    return table
        .find(endpoint)
        .map(EndpointTable.Entry::announcement)
        .filter(a -> a.incarnation() >= incarnation);
  }

  private void hear(Announcement news, Duration remaining, Instant now) {
    Duration left = remaining.compareTo(news.timeToLive()) < 0 ? remaining : news.timeToLive();
    table.hear(news, now.minus(news.timeToLive().minus(left)));
  }

  private List<Item> everything(Instant now) {
    List<Item> items = new ArrayList<>();
    for (Own o : own.values()) {
      if (o.remaining(now).isPositive()) {
        items.add(onAnnouncement(o, now));
        if (o.isQuiet()) {
          items.add(quiet(o));
        }
      }
    }
    left.forEach((id, l) -> items.add(new Item.Leaving(id, l.incarnation())));
    return items;
  }

  /** Drops what has run out; the audience must no longer take it for renewed. */
  private void dropExpired(Instant now, List<Item> items) {
    own.values()
        .removeIf(
            o -> {
              boolean expired = !o.remaining(now).isPositive();
              if (expired && !o.isQuiet()) {
                items.add(quiet(o));
              }
              return expired;
            });
  }

  private void addRenewals(Instant now, List<Item> items) {
    own.replaceAll(
        (_, o) -> {
          addRenewal(o, now, items);
          return o.told(o.isSilent(now));
        });
    own.values().stream()
        .filter(o -> !o.isQuiet())
        .map(o -> o.age(now))
        .max(Comparator.naturalOrder())
        .ifPresent(age -> items.add(new Item.AllRenewed(age)));
    left.forEach((id, l) -> items.add(new Item.Leaving(id, l.incarnation())));
  }

  /** Adds what the renewal of all does not tell of one endpoint. */
  private static void addRenewal(Own o, Instant now, List<Item> items) {
    boolean isSilent = o.isSilent(now);
    if (o.isNew()) {
      items.add(onAnnouncement(o, now));
    } else if (!isSilent && (o.isQuiet() || o.load().isPresent())) {
      items.add(renewed(o, now));
    }
    if (isSilent && (o.isNew() || !o.isQuiet())) {
      items.add(quiet(o));
    }
  }

  private void addNews(Instant now, List<Item> items) {
    own.replaceAll(
        (_, o) -> {
          if (!o.isNew()) {
            return o;
          }
          items.add(onAnnouncement(o, now));
          return o.told(false);
        });
    left.forEach(
        (id, l) -> {
          if (l.isNew()) {
            items.add(new Item.Leaving(id, l.incarnation()));
          }
        });
  }

  private static Item quiet(Own o) {
    return new Item.Stale(o.announcement().endpoint(), o.announcement().incarnation());
  }

  private static Item onAnnouncement(Own o, Instant now) {
    return new Item.Announced(o.announcement(), o.remaining(now), o.load());
  }

  private static Item renewed(Own o, Instant now) {
    return new Item.Renewed(
        o.announcement().endpoint(), o.announcement().incarnation(), o.remaining(now), o.load());
  }

  private static OutgoingMessage tell(HostId peer, MembershipMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Membership(message));
  }
}
