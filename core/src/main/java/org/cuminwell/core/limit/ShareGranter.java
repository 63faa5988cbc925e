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
 * another session, or {@link ShareLease#LEASE} and {@link ShareLease#MARGIN} have gone by since its
 * last report came, from whose sending the holder counts. Not thread safe: one thread owns it.
 */
public final class ShareGranter {

  private static final Duration TELL_PERIOD = Duration.ofSeconds(5);

  private final Set<HostId> gateways = new HashSet<>();
  private final TreeMap<HostId, Holder> holders = new TreeMap<>();
  private final Map<CustomerId, CustomerBook> books = new HashMap<>();
  private final Set<CustomerId> changed = new LinkedHashSet<>();
  private Configuration configuration = Configuration.EMPTY;
  private boolean leading;
  private long epoch;
  private Instant grantsFrom = Instant.MAX;
  private Instant toldAt = Instant.MIN;

  /** Keeps the state of one session of one gateway. */
  private static final class Holder {
    final long session;
    final Set<CustomerId> customers = new HashSet<>();
    final Set<CustomerId> unacknowledged = new HashSet<>();
    long heard;
    long acknowledged;
    long number;
    boolean unsent;
    boolean adopted;
    Instant expiresAt;

    Holder(long session, Instant expiresAt) {
      this.session = session;
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
    holders.clear();
    books.clear();
    changed.clear();
    leading = true;
    epoch = newEpoch;
    grantsFrom = now.plus(ShareLease.LEASE).plus(ShareLease.MARGIN);
    return tellGateways(now);
  }

  /**
   * Stops granting, since another host leads or may lead. What is booked counts again if this host
   * leads on in the same term, since then no other did.
   */
  public void stepDown() {
    leading = false;
  }

  /** Takes on the limits of the configuration, if it is another. */
  public void configure(Configuration inForce) {
    if (inForce.revision().equals(configuration.revision())) {
      return;
    }
    configuration = inForce;
    for (Map.Entry<CustomerId, CustomerBook> entry : books.entrySet()) {
      Optional<Customer> customer = Optional.ofNullable(inForce.customers().get(entry.getKey()));
      entry.getValue().limit(customer.map(Customer::limit));
      changed.add(entry.getKey());
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
      case Report report -> hear(from, report, now);
      case LeaderAnnouncement m -> List.of();
      case Grant m -> List.of();
    };
  }

  /** Returns what is to be sent as time goes by. */
  public List<AddressedMessage> tick(Instant now) {
    if (!leading) {
      return List.of();
    }
    expire(now);
    divideChanged(now);
    List<AddressedMessage> out = new ArrayList<>();
    for (Map.Entry<HostId, Holder> entry : holders.entrySet()) {
      if (entry.getValue().unsent) {
        out.add(grant(entry.getKey(), entry.getValue()));
      }
    }
    if (!now.isBefore(toldAt.plus(TELL_PERIOD))) {
      out.addAll(tellGateways(now));
    }
    return out;
  }

  /** Returns the most of the customer's rate that gateways may hold now beyond floors. */
  public Share booked(CustomerId customer) {
    CustomerBook book = books.get(customer);
    return book == null ? Share.NONE : new Share(book.bookedRate(), book.bookedBurst());
  }

  private List<AddressedMessage> hear(HostId from, Report report, Instant now) {
    if (!leading || report.epoch() != epoch) {
      return List.of();
    }
    expire(now);
    Holder holder = holderOf(from, report, now);
    boolean outOfOrder =
        holder.session != report.session()
            || report.sequence() <= holder.heard
            || report.acknowledgedGrant() > holder.number;
    if (outOfOrder) {
      return List.of();
    }
    holder.heard = report.sequence();
    holder.expiresAt = expiry(now);
    acknowledge(from, holder, report.acknowledgedGrant());
    report.demands().forEach(demand -> take(from, holder, demand, now));
    divideChanged(now);
    return List.of(grant(from, holder));
  }

  private Holder holderOf(HostId from, Report report, Instant now) {
    Holder old = holders.get(from);
    if (old != null && old.session >= report.session()) {
      return old;
    }
    if (old != null) {
      drop(from, old, now);
    }
    Holder holder = new Holder(report.session(), expiry(now));
    holders.put(from, holder);
    if (now.isBefore(grantsFrom)) {
      holder.adopted = true;
      report.heldShares().forEach(heldShare -> adopt(from, holder, heldShare));
    }
    return holder;
  }

  private void adopt(HostId from, Holder holder, HeldShare heldShare) {
    Customer customer = configuration.customers().get(heldShare.customer());
    if (customer != null) {
      holder.customers.add(customer.id());
      book(customer).adopt(from, heldShare.share(), grantsFrom);
    }
  }

  private CustomerBook book(Customer customer) {
    return books.computeIfAbsent(
        customer.id(), id -> new CustomerBook(id, customer.limit(), grantsFrom));
  }

  private void acknowledge(HostId from, Holder holder, long number) {
    if (number <= holder.acknowledged) {
      return;
    }
    for (CustomerId id : List.copyOf(holder.unacknowledged)) {
      Optional<Allotted> allotted = allotted(from, id);
      allotted.ifPresent(a -> a.acknowledge(number));
      if (allotted.filter(a -> a.isAfter(number)).isEmpty()) {
        holder.unacknowledged.remove(id);
      }
      changed.add(id);
    }
    holder.acknowledged = number;
  }

  private void take(HostId from, Holder holder, Demand demand, Instant now) {
    Customer customer = configuration.customers().get(demand.customer());
    if (customer == null) {
      return;
    }
    CustomerBook book = book(customer);
    holder.customers.add(customer.id());
    long returned = book.of(from).demand(demand, now);
    if (holder.acknowledged > 0 && !now.isBefore(grantsFrom)) {
      book.giveBack(returned, now);
    }
    changed.add(customer.id());
  }

  private void divideChanged(Instant now) {
    if (now.isBefore(grantsFrom)) {
      return;
    }
    for (CustomerId id : List.copyOf(changed)) {
      CustomerBook book = books.get(id);
      if (book != null) {
        book.divide(this::nextNumber, now);
        book.park();
      }
    }
    changed.clear();
  }

  private Optional<Allotted> allotted(HostId host, CustomerId customer) {
    return Optional.ofNullable(books.get(customer)).flatMap(book -> book.find(host));
  }

  private long nextNumber(HostId host, CustomerId customer) {
    Holder holder = holders.get(host);
    if (holder == null) {
      throw new IllegalStateException("shares of " + host + " are booked without a session");
    }
    holder.unsent = true;
    holder.unacknowledged.add(customer);
    return holder.number + 1;
  }

  private AddressedMessage grant(HostId to, Holder holder) {
    List<Allotment> allotments = new ArrayList<>();
    for (CustomerId id : holder.unacknowledged) {
      allotted(to, id).ifPresent(allotted -> allotments.add(allotted.allotment()));
    }
    holder.number++;
    holder.unsent = false;
    return new AddressedMessage(
        to,
        new Grant(epoch, holder.session, holder.number, holder.heard, holder.adopted, allotments));
  }

  private void expire(Instant now) {
    for (Map.Entry<HostId, Holder> entry : List.copyOf(holders.entrySet())) {
      if (!now.isBefore(entry.getValue().expiresAt)) {
        drop(entry.getKey(), entry.getValue(), now);
      }
    }
  }

  private void drop(HostId host, Holder holder, Instant now) {
    holders.remove(host);
    for (CustomerId id : holder.customers) {
      CustomerBook book = books.get(id);
      if (book != null) {
        book.remove(host, now.isBefore(grantsFrom) ? grantsFrom : now);
        changed.add(id);
      }
    }
  }

  private List<AddressedMessage> tellGateways(Instant now) {
    toldAt = now;
    return gateways.stream()
        .map(id -> new AddressedMessage(id, new LeaderAnnouncement(epoch)))
        .toList();
  }

  private static Instant expiry(Instant now) {
    return now.plus(ShareLease.LEASE).plus(ShareLease.MARGIN);
  }
}
