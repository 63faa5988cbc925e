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
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.MembershipMessage.FullUpdateRequest;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.membership.MembershipMessage.Update;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Exchanges the announcements of endpoints between processes.
 *
 * <p>Each process sends only what endpoints reported to it directly, as differences between
 * versions: new items at once, and every {@link #RENEW_PERIOD} one item that renews all other
 * endpoints, so that a message does not grow with the number of endpoints. A receiver that missed a
 * version requests a full update. Invariants: a relayed announcement never expires later than at
 * its source; an outdated message is dropped. Not thread safe: one thread owns it.
 */
public final class MembershipExchange {

  /** How often endpoints that keep announcing themselves are renewed, and their loads are sent. */
  static final Duration RENEW_PERIOD = Duration.ofSeconds(1);

  /**
   * How long messages repeat that an endpoint leaves. They do so longer while its announcement is
   * held, since a process that gets the announcement later must not take it for one that stays, but
   * no longer than {@link #ANNOUNCED_REPEAT_LIVES} of its times to live.
   */
  static final Duration LEAVING_REPEAT_PERIOD = Duration.ofSeconds(5);

  /** One for the announcement that is held, and one for another that comes late. */
  private static final int ANNOUNCED_REPEAT_LIVES = 2;

  private final Supplier<List<HostId>> recipients;
  private final EndpointTable table;

  /** Endpoints that announced themselves to this process directly. */
  private final TreeMap<EndpointId, DirectEndpoint> endpoints = new TreeMap<>();

  private final TreeMap<EndpointId, DirectLeaving> leavingEndpoints = new TreeMap<>();
  private final Map<HostId, Version> receivedVersions = new HashMap<>();
  private final Map<HostId, RenewableEndpoints> renewableEndpoints = new HashMap<>();
  private long start;
  private long version;
  private Instant renewedAt = Instant.MIN;

  /**
   * Holds what one endpoint reported to this process directly.
   *
   * @param isUnsent whether the announcement has yet to be sent
   * @param isStale whether the endpoint was last sent as stale
   */
  private record DirectEndpoint(
      Announcement announcement,
      Instant receivedAt,
      Optional<LoadReport> load,
      boolean isUnsent,
      boolean isStale) {

    /** Returns the time since the last announcement. */
    Duration age(Instant now) {
      return Duration.between(receivedAt, now);
    }

    /** Returns how much of the time to live is left. */
    Duration remaining(Instant now) {
      return announcement.timeToLive().minus(age(now));
    }

    /** Returns whether the endpoint has been silent for more than half of its time to live. */
    boolean isSilent(Instant now) {
      return age(now).multipliedBy(2).compareTo(announcement.timeToLive()) > 0;
    }

    DirectEndpoint withLoad(LoadReport report) {
      return new DirectEndpoint(announcement, receivedAt, Optional.of(report), isUnsent, isStale);
    }

    /** Returns the state after the announcement was sent. */
    DirectEndpoint sent(boolean asStale) {
      return new DirectEndpoint(announcement, receivedAt, load, false, asStale);
    }
  }

  /**
   * Returns whether {@code known} is a later announcement of the same incarnation than {@code
   * announcement}.
   */
  private static boolean isOutdated(Announcement known, Announcement announcement) {
    return known.incarnation() == announcement.incarnation()
        && known.sequence() > announcement.sequence();
  }

  /** Records that an endpoint announced to this process that it leaves. */
  private record DirectLeaving(long incarnation, Instant at, boolean isUnsent) {}

  /** Identifies the last update received from a peer, by the start of the peer and its version. */
  private record Version(long start, long to) {}

  /**
   * Creates the exchange of a process that keeps its endpoints in {@code table}.
   *
   * @param recipients supplies the connected processes that receive what endpoints report to this
   *     one
   */
  public MembershipExchange(Supplier<List<HostId>> recipients, EndpointTable table) {
    this.recipients = recipients;
    this.table = table;
  }

  /** Records an announcement that an endpoint sent to this process. */
  public void onAnnouncement(Announcement announcement, Instant now) {
    table.recordAnnouncement(announcement, now);
    DirectEndpoint known = endpoints.get(announcement.endpoint());
    if (known != null && known.announcement().incarnation() > announcement.incarnation()) {
      return;
    }
    boolean isUnsent =
        known == null || known.isUnsent() || !known.announcement().isRenewedBy(announcement);
    Optional<LoadReport> load =
        Optional.ofNullable(known)
            .filter(endpoint -> endpoint.announcement().incarnation() == announcement.incarnation())
            .flatMap(DirectEndpoint::load);
    if (known != null && isOutdated(known.announcement(), announcement)) {
      return;
    }
    endpoints.put(
        announcement.endpoint(),
        new DirectEndpoint(announcement, now, load, isUnsent, known != null && known.isStale()));
  }

  /** Records a load report that an endpoint sent to this process. */
  public void onLoadReport(LoadReport report) {
    table.recordLoad(report);
    endpoints.computeIfPresent(
        report.endpoint(),
        (id, old) ->
            old.announcement().incarnation() == report.incarnation() ? old.withLoad(report) : old);
  }

  /** Records that an endpoint announced to this process that it leaves. */
  public void onLeaving(EndpointId endpoint, long incarnation, Instant now) {
    table.markLeaving(endpoint, incarnation, now);
    leavingEndpoints.put(endpoint, new DirectLeaving(incarnation, now, true));
  }

  /**
   * Returns the departures that this process still repeats as messages to the peers, which need not
   * receive its other updates.
   */
  public List<OutgoingMessage> departuresTo(List<HostId> peers) {
    if (leavingEndpoints.isEmpty()) {
      return List.of();
    }
    Update message = new Update(start, 0, version, departureItems());
    return peers.stream().map(peer -> messageTo(peer, message)).toList();
  }

  /**
   * Returns messages with the load that this process puts on endpoints. They must be sent after
   * those of the last {@link #tick}, since they state its version.
   */
  public List<OutgoingMessage> loadsTo(List<HostId> peers, LoadDigest digest) {
    Update message = new Update(start, version, version, List.of(), Optional.of(digest));
    return peers.stream().map(peer -> messageTo(peer, message)).toList();
  }

  /**
   * Returns messages with the pauses of endpoints that this process has observed since the last
   * call and the peers have not been told of.
   */
  public List<OutgoingMessage> pausesTo(List<HostId> peers, Instant now) {
    List<Item> items = table.takeUntoldPauses(now);
    if (items.isEmpty()) {
      return List.of();
    }
    return pauseMessages(peers, items);
  }

  /** Returns messages that pass the pauses of an update on to the recipients. */
  public List<OutgoingMessage> relayPauses(Update update) {
    List<Item> items = update.items().stream().filter(Item.Paused.class::isInstance).toList();
    return items.isEmpty() ? List.of() : pauseMessages(recipients.get(), items);
  }

  private List<OutgoingMessage> pauseMessages(List<HostId> peers, List<Item> items) {
    Update message = new Update(start, version, version, items);
    return peers.stream().map(peer -> messageTo(peer, message)).toList();
  }

  /** Forgets the versions of a disconnected peer, which may restart them. */
  public void onDisconnected(HostId peer) {
    receivedVersions.remove(peer);
    renewableEndpoints.remove(peer);
  }

  /** Returns the messages for a newly connected peer. */
  public List<OutgoingMessage> onConnected(HostId neighbour) {
    return List.of(messageTo(neighbour, new FullUpdateRequest()));
  }

  /** Handles a message of a peer, and returns the messages to send. */
  public List<OutgoingMessage> onMessage(HostId peer, MembershipMessage message, Instant now) {
    return switch (message) {
      case FullUpdateRequest request ->
          List.of(messageTo(peer, new Update(start, 0, version, allItems(now))));
      case Update update when carriesOnlyPauses(update) -> {
        update.items().forEach(item -> applyPause(item, now));
        yield List.of();
      }
      case Update update -> onUpdate(peer, update, now);
    };
  }

  /** Returns whether the update belongs to no version, since it has pauses and no other items. */
  private static boolean carriesOnlyPauses(Update update) {
    return !update.items().isEmpty()
        && update.items().stream().allMatch(Item.Paused.class::isInstance);
  }

  private void applyPause(Item item, Instant now) {
    if (item instanceof Item.Paused paused) {
      table.recordToldPause(
          new EndpointIncarnation(paused.endpoint(), paused.incarnation()),
          paused.remaining(),
          now);
    }
  }

  /** Removes expired endpoints, and returns the update that is due. */
  public List<OutgoingMessage> tick(Instant now) {
    if (start == 0) {
      start = now.toEpochMilli();
    }
    List<Item> items = new ArrayList<>();
    removeExpired(now, items);
    leavingEndpoints.entrySet().removeIf(entry -> !isRepeated(entry, now));
    boolean isRenewalDue =
        renewedAt.equals(Instant.MIN) || !now.isBefore(renewedAt.plus(RENEW_PERIOD));
    if (isRenewalDue) {
      renewedAt = now;
      addRenewals(now, items);
    } else {
      addUnsent(now, items);
    }
    leavingEndpoints.replaceAll(
        (id, leaving) -> new DirectLeaving(leaving.incarnation(), leaving.at(), false));
    if (items.isEmpty()) {
      return List.of();
    }
    Update message = new Update(start, version, ++version, items);
    return recipients.get().stream().map(peer -> messageTo(peer, message)).toList();
  }

  /**
   * Applies an update of a peer, and requests a full one if versions were missed or an endpoint is
   * unknown.
   */
  private List<OutgoingMessage> onUpdate(HostId peer, Update update, Instant now) {
    Version lastVersion = receivedVersions.getOrDefault(peer, new Version(0, 0));
    boolean isLate =
        update.start() < lastVersion.start()
            || (update.start() == lastVersion.start() && update.to() <= lastVersion.to());
    if (isLate && update.from() != 0) {
      return List.of();
    }
    if (update.start() < lastVersion.start()) {
      return List.of();
    }
    boolean isGap =
        update.from() != 0
            && (update.start() != lastVersion.start() || update.from() != lastVersion.to());
    boolean isFullUpdate =
        update.from() == 0
            && (update.start() > lastVersion.start() || update.to() >= lastVersion.to());
    RenewableEndpoints peerEndpoints =
        renewableEndpoints.computeIfAbsent(peer, _ -> new RenewableEndpoints());
    if (isGap) {
      peerEndpoints.invalidate();
    } else if (isFullUpdate) {
      peerEndpoints.beginFullUpdate();
    }
    if (!isLate || isFullUpdate) {
      receivedVersions.put(peer, new Version(update.start(), update.to()));
      update.items().forEach(peerEndpoints::apply);
    }
    boolean hasUnknownEndpoint = false;
    for (Item item : update.items()) {
      hasUnknownEndpoint |= !applyItem(item, peerEndpoints, now);
    }
    return isGap || hasUnknownEndpoint
        ? List.of(messageTo(peer, new FullUpdateRequest()))
        : List.of();
  }

  /** Applies one item, and returns false if it renews an unknown endpoint. */
  private boolean applyItem(Item item, RenewableEndpoints peerEndpoints, Instant now) {
    return switch (item) {
      case Item.Announced i -> {
        recordRelayed(i.announcement(), i.remaining(), now);
        i.load().ifPresent(table::recordLoad);
        yield true;
      }
      case Item.Renewed i -> {
        Optional<Announcement> announcement = findAnnouncement(i.endpoint(), i.incarnation());
        announcement
            .filter(a -> a.incarnation() == i.incarnation())
            .ifPresent(a -> recordRelayed(a, i.remaining(), now));
        i.load().ifPresent(table::recordLoad);
        yield announcement.isPresent();
      }
      case Item.AllRenewed i ->
          peerEndpoints.renewAll(incarnation -> renew(incarnation, now.minus(i.age())));
      case Item.Stale i -> true;
      case Item.Paused i -> {
        applyPause(i, now);
        yield true;
      }
      case Item.Leaving i -> {
        table.markLeaving(i.endpoint(), i.incarnation(), now);
        yield true;
      }
    };
  }

  /**
   * Renews an incarnation that the peer heard from at {@code receivedAt}, and returns whether it is
   * known.
   */
  private boolean renew(EndpointIncarnation incarnation, Instant receivedAt) {
    Optional<Announcement> known =
        findAnnouncement(incarnation.endpoint(), incarnation.incarnation());
    known
        .filter(a -> a.incarnation() == incarnation.incarnation())
        .ifPresent(a -> table.recordReceivedAt(a, receivedAt));
    return known.isPresent();
  }

  /** Returns the last announcement of this or a later incarnation of the endpoint, if known. */
  private Optional<Announcement> findAnnouncement(EndpointId endpoint, long incarnation) {
    return table
        .find(endpoint)
        .map(EndpointTable.Entry::announcement)
        .filter(a -> a.incarnation() >= incarnation);
  }

  /**
   * Records a relayed announcement, with the receive time that follows from its remaining time to
   * live.
   */
  private void recordRelayed(Announcement announcement, Duration remaining, Instant now) {
    Duration validFor =
        remaining.compareTo(announcement.timeToLive()) < 0 ? remaining : announcement.timeToLive();
    table.recordReceivedAt(announcement, now.minus(announcement.timeToLive().minus(validFor)));
  }

  /** Returns the items of a full update. */
  private List<Item> allItems(Instant now) {
    List<Item> items = new ArrayList<>();
    for (DirectEndpoint endpoint : endpoints.values()) {
      if (endpoint.remaining(now).isPositive()) {
        items.add(announcedItem(endpoint, now));
        if (endpoint.isStale()) {
          items.add(staleItem(endpoint));
        }
      }
    }
    items.addAll(departureItems());
    return items;
  }

  private boolean isRepeated(Map.Entry<EndpointId, DirectLeaving> departure, Instant now) {
    DirectLeaving leaving = departure.getValue();
    Duration repeated =
        Optional.ofNullable(endpoints.get(departure.getKey()))
            .map(DirectEndpoint::announcement)
            .filter(held -> held.incarnation() == leaving.incarnation())
            .map(held -> held.timeToLive().multipliedBy(ANNOUNCED_REPEAT_LIVES))
            .filter(lives -> lives.compareTo(LEAVING_REPEAT_PERIOD) > 0)
            .orElse(LEAVING_REPEAT_PERIOD);
    return now.isBefore(leaving.at().plus(repeated));
  }

  private List<Item> departureItems() {
    return leavingEndpoints.entrySet().stream()
        .<Item>map(entry -> new Item.Leaving(entry.getKey(), entry.getValue().incarnation()))
        .toList();
  }

  /** Removes expired endpoints, and adds items so that the receivers no longer renew them. */
  private void removeExpired(Instant now, List<Item> items) {
    endpoints
        .values()
        .removeIf(
            endpoint -> {
              boolean expired = !endpoint.remaining(now).isPositive();
              if (expired && !endpoint.isStale()) {
                items.add(staleItem(endpoint));
              }
              return expired;
            });
  }

  /** Adds the items of a periodic update, and marks them as sent. */
  private void addRenewals(Instant now, List<Item> items) {
    endpoints.replaceAll(
        (_, endpoint) -> {
          addRenewal(endpoint, now, items);
          return endpoint.sent(endpoint.isSilent(now));
        });
    endpoints.values().stream()
        .filter(endpoint -> !endpoint.isStale())
        .map(endpoint -> endpoint.age(now))
        .max(Comparator.naturalOrder())
        .ifPresent(age -> items.add(new Item.AllRenewed(age)));
    items.addAll(departureItems());
  }

  /** Adds what the renewal of all endpoints does not say of this one. */
  private static void addRenewal(DirectEndpoint endpoint, Instant now, List<Item> items) {
    boolean isSilent = endpoint.isSilent(now);
    if (endpoint.isUnsent()) {
      items.add(announcedItem(endpoint, now));
    } else if (!isSilent && (endpoint.isStale() || endpoint.load().isPresent())) {
      items.add(renewedItem(endpoint, now));
    }
    if (isSilent && (endpoint.isUnsent() || !endpoint.isStale())) {
      items.add(staleItem(endpoint));
    }
  }

  /** Adds only the announcements and departures that were not sent yet, and marks them as sent. */
  private void addUnsent(Instant now, List<Item> items) {
    endpoints.replaceAll(
        (_, endpoint) -> {
          if (!endpoint.isUnsent()) {
            return endpoint;
          }
          items.add(announcedItem(endpoint, now));
          return endpoint.sent(false);
        });
    leavingEndpoints.forEach(
        (id, leaving) -> {
          if (leaving.isUnsent()) {
            items.add(new Item.Leaving(id, leaving.incarnation()));
          }
        });
  }

  private static Item staleItem(DirectEndpoint endpoint) {
    return new Item.Stale(
        endpoint.announcement().endpoint(), endpoint.announcement().incarnation());
  }

  private static Item announcedItem(DirectEndpoint endpoint, Instant now) {
    return new Item.Announced(endpoint.announcement(), endpoint.remaining(now), endpoint.load());
  }

  private static Item renewedItem(DirectEndpoint endpoint, Instant now) {
    return new Item.Renewed(
        endpoint.announcement().endpoint(),
        endpoint.announcement().incarnation(),
        endpoint.remaining(now),
        endpoint.load());
  }

  private static OutgoingMessage messageTo(HostId peer, MembershipMessage message) {
    return new OutgoingMessage(peer, new PeerMessage.Membership(message));
  }
}
