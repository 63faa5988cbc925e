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
 * <p>Grants are not replicated. A new leader therefore grants nothing new until every lease of
 * earlier leaders must have expired; until then it only lets holders keep the shares they report.
 * Invariant: a holder's share stays reserved until the holder has acknowledged a smaller one, has
 * started another session, or {@link ShareLease#LEASE} plus {@link ShareLease#CLOCK_MARGIN} have
 * elapsed since its last report arrived; the holder counts the lease from sending that report.
 *
 * <p>Reports are only recorded when they arrive. All that arrived since are answered by the next
 * {@link #tick}, which divides each limit once, so that the work of a leader does not grow with the
 * product of gateways and reports. Not thread safe: one thread owns it.
 */
public final class ShareGranter {

  /** How often the leader announces itself to connected gateways. */
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

  /** Holds the state of one session of one gateway. */
  private static final class Session {
    final long number;
    final Set<CustomerId> customers = new HashSet<>();
    final Set<CustomerId> unacknowledgedCustomers = new HashSet<>();
    long lastReport;
    long acknowledgedGrant;
    long lastGrant;
    boolean mustAnswer;
    boolean adoptsHeldShares;
    Instant expiresAt;

    Session(long number, Instant expiresAt) {
      this.number = number;
      this.expiresAt = expiresAt;
    }
  }

  /**
   * Starts to lead, and to grant once the leases given by every earlier leader have expired.
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
   * Stops granting, because another host leads or may lead. Reservations are kept: if this host
   * leads again in the same term, no other host has led since.
   */
  public void stepDown() {
    leading = false;
  }

  /** Applies the limits of the configuration if its revision differs. */
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

  /** Records that a gateway is connected, and returns the leader's announcement to it. */
  public List<AddressedMessage> onConnected(HostId gateway) {
    gateways.add(gateway);
    return leading
        ? List.of(new AddressedMessage(gateway, new LeaderAnnouncement(epoch)))
        : List.of();
  }

  /** Records that a gateway is disconnected; its shares stay reserved until their lease expires. */
  public void onDisconnected(HostId gateway) {
    gateways.remove(gateway);
  }

  /** Records a gateway's message, which the next {@link #tick} answers. */
  public void onMessage(HostId from, LimitMessage message, Instant now) {
    switch (message) {
      case Report report -> onReport(from, report, now);
      case LeaderAnnouncement m -> {}
      case Grant m -> {}
    }
  }

  /**
   * Expires sessions, divides limits whose demand changed, and returns the messages that are due.
   */
  public List<AddressedMessage> tick(Instant now) {
    if (!leading) {
      return List.of();
    }
    dropExpired(now);
    divideChanged(now);
    List<AddressedMessage> out = new ArrayList<>();
    for (Map.Entry<HostId, Session> entry : sessions.entrySet()) {
      if (entry.getValue().mustAnswer) {
        out.add(buildGrant(entry.getKey(), entry.getValue()));
      }
    }
    if (!now.isBefore(announcedAt.plus(ANNOUNCE_PERIOD))) {
      out.addAll(announceToGateways(now));
    }
    return out;
  }

  /** Returns the rate and burst of the customer that gateways may be using, without floors. */
  public Share reserved(CustomerId customer) {
    LimitAllocator allocator = allocators.get(customer);
    return allocator == null
        ? Share.NONE
        : new Share(allocator.reservedRate(), allocator.reservedBurst());
  }

  /** Records a report if it is in order. */
  private void onReport(HostId from, Report report, Instant now) {
    if (!leading || report.epoch() != epoch) {
      return;
    }
    Session session = findOrStartSession(from, report, now);
    boolean outOfOrder =
        session.number != report.session()
            || report.sequence() <= session.lastReport
            || report.acknowledgedGrant() > session.lastGrant;
    if (outOfOrder) {
      return;
    }
    session.lastReport = report.sequence();
    session.expiresAt = expiry(now);
    acknowledge(from, session, report.acknowledgedGrant());
    report.demands().forEach(demand -> recordDemand(from, session, demand, now));
    session.mustAnswer = true;
  }

  /** Returns the session of the report, or a later one; an earlier session is dropped first. */
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

  /** Reserves a share that an earlier leader granted. */
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

  /** Records which grant the holder has in force, which may free parts of its shares. */
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

  /**
   * Records the demand. Adds returned tokens to the pool once the holder has acknowledged a grant
   * of this leader.
   */
  private void recordDemand(HostId from, Session session, Demand demand, Instant now) {
    Customer customer = configuration.customers().get(demand.customer());
    if (customer == null) {
      return;
    }
    LimitAllocator allocator = allocatorOf(customer);
    session.customers.add(customer.id());
    long returned = allocator.activate(from).updateDemand(demand, now);
    if (session.acknowledgedGrant > 0 && !now.isBefore(grantsFrom)) {
      allocator.returnTokens(returned);
    }
    changedCustomers.add(customer.id());
  }

  /** Divides the limits whose demand, reservations or configuration changed. */
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

  /** Returns what this leader has granted to the host for the customer, if anything. */
  private Optional<GrantedShare> findShare(HostId host, CustomerId customer) {
    return Optional.ofNullable(allocators.get(customer)).flatMap(allocator -> allocator.find(host));
  }

  /**
   * Marks the customer's share to be sent to the host, and returns the number of the grant that
   * will carry it.
   */
  private long scheduleGrant(HostId host, CustomerId customer) {
    Session session = sessions.get(host);
    if (session == null) {
      throw new IllegalStateException("shares of " + host + " are reserved without a session");
    }
    session.mustAnswer = true;
    session.unacknowledgedCustomers.add(customer);
    return session.lastGrant + 1;
  }

  /** Builds the next grant, with every share that is not acknowledged yet. */
  private AddressedMessage buildGrant(HostId to, Session session) {
    List<Allotment> allotments = new ArrayList<>();
    for (CustomerId id : session.unacknowledgedCustomers) {
      findShare(to, id).ifPresent(grantedShare -> allotments.add(grantedShare.allotment()));
    }
    session.lastGrant++;
    session.mustAnswer = false;
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

  /** Drops the sessions whose leases have expired. */
  private void dropExpired(Instant now) {
    for (Map.Entry<HostId, Session> entry : List.copyOf(sessions.entrySet())) {
      if (!now.isBefore(entry.getValue().expiresAt)) {
        dropSession(entry.getKey(), entry.getValue(), now);
      }
    }
  }

  /** Ends a session and frees its shares. */
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

  /** Returns when a session expires whose report arrived at {@code now}. */
  private static Instant expiry(Instant now) {
    return now.plus(ShareLease.LEASE).plus(ShareLease.CLOCK_MARGIN);
  }
}
