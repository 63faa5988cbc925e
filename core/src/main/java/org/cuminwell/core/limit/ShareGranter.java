package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.limit.LimitMessage.Grant;
import org.cuminwell.core.limit.LimitMessage.HeldShare;
import org.cuminwell.core.limit.LimitMessage.LeaderAnnouncement;
import org.cuminwell.core.limit.LimitMessage.Report;
import org.cuminwell.core.limit.ShareHolder.AddressedMessage;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;

/**
 * Grants gateways their shares of the customers' limits while this control host leads.
 *
 * <p>Nothing here is replicated: a new leader grants nothing new until every lease of the one
 * before must have run out. Until then it only lets holders go on with what they report to hold.
 * Invariants: a holder's shares count as in use until it has acknowledged a smaller one, has begun
 * another session, or {@link ShareLease#LEASE} and {@link ShareLease#CLOCK_MARGIN} have gone by
 * since its last report came, from whose sending the holder counts. Not thread safe: one thread
 * owns it.
 */
public final class ShareGranter {

  private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(5);

  private final Set<HostId> gateways = new HashSet<>();
  private final TreeMap<HostId, Session> sessions = new TreeMap<>();
  private final Map<CustomerId, LimitAllocator> allocators = new HashMap<>();
  private final Set<CustomerId> changedCustomers = new LinkedHashSet<>();
  private Configuration configuration = Configuration.EMPTY;
  private boolean leading;
  private long epoch;
  private Instant grantsFrom = Instant.MAX;
  private Instant announcedAt = Instant.MIN;

  /** Keeps the state of one session of one gateway. */
  private static final class Session {
    final long number;
    final Set<CustomerId> customers = new HashSet<>();
    final Set<CustomerId> unacknowledgedCustomers = new HashSet<>();
    long lastReport;
    long acknowledgedGrant;
    long lastGrant;
    boolean hasUnsentGrant;
    boolean adoptsHeldShares;
    Instant expiresAt;

    Session(long number, Instant expiresAt) {
      this.number = number;
      this.expiresAt = expiresAt;
    }
  }

  /**
   * Leads, and grants once the leases given by every earlier leader have run out.
   *
   * @param newEpoch the term, higher than that of any earlier leader
   */
  public List<AddressedMessage> becomeLeader(long newEpoch, Instant now) {
    if (newEpoch == epoch) {
      leading = true;
      return List.of();
    }
    sessions.clear();
    allocators.clear();
    changedCustomers.clear();
    leading = true;
    epoch = newEpoch;
    grantsFrom = now.plus(ShareLease.LEASE).plus(ShareLease.CLOCK_MARGIN);
    return announceToGateways(now);
  }

  /**
   * Stops granting, since another host leads or may lead. What is booked counts again if this host
   * leads on in the same term, since then no other did.
   */
  public void stepDown() {
    leading = false;
  }

  /** Takes on the limits of the configuration, if it is another. */
  public void configure(Configuration newConfiguration) {
    if (newConfiguration.revision().equals(configuration.revision())) {
      return;
    }
    configuration = newConfiguration;
    for (Map.Entry<CustomerId, LimitAllocator> entry : allocators.entrySet()) {
      Optional<Customer> customer =
          Optional.ofNullable(newConfiguration.customers().get(entry.getKey()));
      entry.getValue().updateLimit(customer.map(Customer::limit));
      changedCustomers.add(entry.getKey());
    }
  }

  /** Takes in that a gateway can be reached. */
  public List<AddressedMessage> onConnected(HostId gateway) {
    gateways.add(gateway);
    return leading
        ? List.of(new AddressedMessage(gateway, new LeaderAnnouncement(epoch)))
        : List.of();
  }

  /** Takes in that a gateway can't be reached; its shares stay booked until their lease ends. */
  public void onDisconnected(HostId gateway) {
    gateways.remove(gateway);
  }

  /** Returns what to answer a gateway's message. */
  public List<AddressedMessage> onMessage(HostId from, LimitMessage message, Instant now) {
    return switch (message) {
      case Report report -> onReport(from, report, now);
      case LeaderAnnouncement m -> List.of();
      case Grant m -> List.of();
    };
  }

  /** Returns what is to be sent as time goes by. */
  public List<AddressedMessage> tick(Instant now) {
    if (!leading) {
      return List.of();
    }
    dropExpired(now);
    divideChanged(now);
    List<AddressedMessage> out = new ArrayList<>();
    for (Map.Entry<HostId, Session> entry : sessions.entrySet()) {
      if (entry.getValue().hasUnsentGrant) {
        out.add(buildGrant(entry.getKey(), entry.getValue()));
      }
    }
    if (!now.isBefore(announcedAt.plus(ANNOUNCE_PERIOD))) {
      out.addAll(announceToGateways(now));
    }
    return out;
  }

  /** Returns the most of the customer's rate that gateways may hold now beyond floors. */
  public Share reserved(CustomerId customer) {
    LimitAllocator allocator = allocators.get(customer);
    return allocator == null
        ? Share.NONE
        : new Share(allocator.reservedRate(), allocator.reservedBurst());
  }

  private List<AddressedMessage> onReport(HostId from, Report report, Instant now) {
    if (!leading || report.epoch() != epoch) {
      return List.of();
    }
    dropExpired(now);
    Session session = findOrStartSession(from, report, now);
    boolean outOfOrder =
        session.number != report.session()
            || report.sequence() <= session.lastReport
            || report.acknowledgedGrant() > session.lastGrant;
    if (outOfOrder) {
      return List.of();
    }
    session.lastReport = report.sequence();
    session.expiresAt = expiry(now);
    acknowledge(from, session, report.acknowledgedGrant());
    report.demands().forEach(demand -> recordDemand(from, session, demand, now));
    divideChanged(now);
    return List.of(buildGrant(from, session));
  }

  private Session findOrStartSession(HostId from, Report report, Instant now) {
    Session old = sessions.get(from);
    if (old != null && old.number >= report.session()) {
      return old;
    }
    if (old != null) {
      dropSession(from, old, now);
    }
    Session session = new Session(report.session(), expiry(now));
    sessions.put(from, session);
    if (now.isBefore(grantsFrom)) {
      session.adoptsHeldShares = true;
      report.heldShares().forEach(heldShare -> adoptShare(from, session, heldShare));
    }
    return session;
  }

  private void adoptShare(HostId from, Session session, HeldShare heldShare) {
    Customer customer = configuration.customers().get(heldShare.customer());
    if (customer != null) {
      session.customers.add(customer.id());
      allocatorOf(customer).adopt(from, heldShare.share(), grantsFrom);
    }
  }

  private LimitAllocator allocatorOf(Customer customer) {
    return allocators.computeIfAbsent(
        customer.id(), id -> new LimitAllocator(id, customer.limit(), grantsFrom));
  }

  private void acknowledge(HostId from, Session session, long number) {
    if (number <= session.acknowledgedGrant) {
      return;
    }
    for (CustomerId id : List.copyOf(session.unacknowledgedCustomers)) {
      Optional<GrantedShare> grantedShare = findShare(from, id);
      grantedShare.ifPresent(share -> share.acknowledge(number));
      if (grantedShare.filter(share -> share.isNewerThan(number)).isEmpty()) {
        session.unacknowledgedCustomers.remove(id);
      }
      changedCustomers.add(id);
    }
    session.acknowledgedGrant = number;
  }

  private void recordDemand(HostId from, Session session, Demand demand, Instant now) {
    Customer customer = configuration.customers().get(demand.customer());
    if (customer == null) {
      return;
    }
    LimitAllocator allocator = allocatorOf(customer);
    session.customers.add(customer.id());
    long returned = allocator.activate(from).updateDemand(demand, now);
    if (session.acknowledgedGrant > 0 && !now.isBefore(grantsFrom)) {
      allocator.returnTokens(returned, now);
    }
    changedCustomers.add(customer.id());
  }

  private void divideChanged(Instant now) {
    if (now.isBefore(grantsFrom)) {
      return;
    }
    for (CustomerId id : List.copyOf(changedCustomers)) {
      LimitAllocator allocator = allocators.get(id);
      if (allocator != null) {
        allocator.divide(this::scheduleGrant, now);
        allocator.deactivateIdle();
      }
    }
    changedCustomers.clear();
  }

  private Optional<GrantedShare> findShare(HostId host, CustomerId customer) {
    return Optional.ofNullable(allocators.get(customer)).flatMap(allocator -> allocator.find(host));
  }

  private long scheduleGrant(HostId host, CustomerId customer) {
    Session session = sessions.get(host);
    if (session == null) {
      throw new IllegalStateException("shares of " + host + " are reserved without a session");
    }
    session.hasUnsentGrant = true;
    session.unacknowledgedCustomers.add(customer);
    return session.lastGrant + 1;
  }

  private AddressedMessage buildGrant(HostId to, Session session) {
    List<Allotment> allotments = new ArrayList<>();
    for (CustomerId id : session.unacknowledgedCustomers) {
      findShare(to, id).ifPresent(grantedShare -> allotments.add(grantedShare.allotment()));
    }
    session.lastGrant++;
    session.hasUnsentGrant = false;
    return new AddressedMessage(
        to,
        new Grant(
            epoch,
            session.number,
            session.lastGrant,
            session.lastReport,
            session.adoptsHeldShares,
            allotments));
  }

  private void dropExpired(Instant now) {
    for (Map.Entry<HostId, Session> entry : List.copyOf(sessions.entrySet())) {
      if (!now.isBefore(entry.getValue().expiresAt)) {
        dropSession(entry.getKey(), entry.getValue(), now);
      }
    }
  }

  private void dropSession(HostId host, Session session, Instant now) {
    sessions.remove(host);
    for (CustomerId id : session.customers) {
      LimitAllocator allocator = allocators.get(id);
      if (allocator != null) {
        allocator.remove(host, now.isBefore(grantsFrom) ? grantsFrom : now);
        changedCustomers.add(id);
      }
    }
  }

  private List<AddressedMessage> announceToGateways(Instant now) {
    announcedAt = now;
    return gateways.stream()
        .map(id -> new AddressedMessage(id, new LeaderAnnouncement(epoch)))
        .toList();
  }

  private static Instant expiry(Instant now) {
    return now.plus(ShareLease.LEASE).plus(ShareLease.CLOCK_MARGIN);
  }
}
