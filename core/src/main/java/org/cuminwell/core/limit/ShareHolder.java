package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.limit.LimitMessage.Grant;
import org.cuminwell.core.limit.LimitMessage.HeldShare;
import org.cuminwell.core.limit.LimitMessage.LeaderAnnouncement;
import org.cuminwell.core.limit.LimitMessage.Report;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.TokenLimit;

/**
 * Admits the requests at one gateway within its shares of the customers' limits.
 *
 * <p>An estimate is charged at admission and settled when the request ends. Invariants: a share is
 * used no longer than {@link ShareLease#LEASE} after the sending of the report that its grant
 * answers; tokens come only from the floor, from the share as time goes by, or with a grant, and
 * each grant counts once. Shares of a leader that was replaced stay in use until their lease ends
 * or the new leader adopts them, which it does for all that this gateway holds or for nothing. Not
 * thread safe: one thread owns it.
 */
public final class ShareHolder {

  /** Up to how many customers a holder asks for shares before their requests come. */
  static final int ASKED_AHEAD = 64;

  private static final Duration SHORT_WAIT = Duration.ofSeconds(1);
  private static final long FIRST_SEQUENCE = 1;

  private final Place place;
  private final int slots;
  private final Instant startedAt;
  private final Map<CustomerId, HeldLimit> limits = new HashMap<>();
  private final ArrayDeque<SentReport> sent = new ArrayDeque<>();

  private Configuration configuration = Configuration.EMPTY;
  private Optional<HostId> granter = Optional.empty();
  private long epoch;
  private long heldEpoch;
  private long introduced;
  private long session;
  private long nextSequence = FIRST_SEQUENCE;
  private long answered;
  private long lastGrant;
  private boolean urgent;
  private boolean acknowledges;
  private boolean leaving;
  private Instant leaseEnd;
  private Instant reportedAt = Instant.EPOCH;

  private record SentReport(long sequence, Instant at) {}

  /**
   * Makes a holder that has nothing yet.
   *
   * @param slots how many entry hosts this data centre may have
   */
  public ShareHolder(Place place, int slots, Instant now) {
    this.place = place;
    this.slots = slots;
    this.startedAt = now;
    this.leaseEnd = now;
    this.session = now.toEpochMilli();
  }

  /** Takes on the limits of the configuration, if it is another. */
  public void configure(Configuration inForce, Instant now) {
    if (inForce.revision().equals(configuration.revision())) {
      return;
    }
    lapse(now);
    configuration = inForce;
    for (HeldLimit limit : limits.values()) {
      Customer customer = inForce.customers().get(limit.customer().id());
      if (customer != null) {
        limit.configure(customer, floorPart(customer), now);
      }
    }
    askAhead(now);
  }

  /**
   * Has the next report name every customer, where they are few, so that the first requests of each
   * find a share of what nobody else wants.
   */
  private void askAhead(Instant now) {
    if (configuration.customers().size() > ASKED_AHEAD || leaving) {
      return;
    }
    for (Customer customer : configuration.customers().values()) {
      if (mayHold(customer)) {
        limit(customer, now).reportAgain(nextSequence);
      }
    }
  }

  private boolean mayHold(Customer customer) {
    return !customer.limit().equals(TokenLimit.UNLIMITED)
        && (customer.boundTo().isEmpty() || customer.boundTo().contains(place.region()));
  }

  /**
   * Charges the estimate if the share has it.
   *
   * @param tokens the estimate, in tokens
   */
  public Admission admit(Customer customer, long tokens, Instant now) {
    if (customer.limit().equals(TokenLimit.UNLIMITED)) {
      return new Admission.Admitted();
    }
    lapse(now);
    long burst = customer.limit().burstTokens();
    if (tokens > burst) {
      return new Admission.TooLarge(burst);
    }
    HeldLimit limit = limit(customer, now);
    limit.ask(tokens);
    return take(limit, tokens, now);
  }

  /** Tries again to charge the estimate of a request that did not fit before. */
  public Admission admitAgain(Customer customer, long tokens, Instant now) {
    lapse(now);
    return take(limit(customer, now), tokens, now);
  }

  private Admission take(HeldLimit limit, long tokens, Instant now) {
    if (limit.tryTake(tokens, now)) {
      return new Admission.Admitted();
    }
    urgent |= !limit.isOverRate();
    Duration wait = limit.timeUntil(tokens, now);
    return limit.isOverRate()
        ? new Admission.OverRate(wait)
        : new Admission.ShareShort(wait.compareTo(SHORT_WAIT) < 0 ? wait : SHORT_WAIT);
  }

  /** Replaces the estimate that was charged by what was used. */
  public void settle(Customer customer, long estimate, long used, Instant now) {
    if (!customer.limit().equals(TokenLimit.UNLIMITED)) {
      lapse(now);
      limit(customer, now).charge(used - estimate, now);
    }
  }

  /** Takes in a message of the control host {@code from}. */
  public void onMessage(HostId from, LimitMessage message, Instant now) {
    lapse(now);
    switch (message) {
      case LeaderAnnouncement m -> follow(from, m.epoch());
      case Grant m -> accept(m, now);
      case Report m -> {}
    }
  }

  /** Gives all shares back with the next report and asks for none, for a graceful shutdown. */
  public void releaseShares() {
    leaving = true;
    urgent = true;
    limits.values().forEach(limit -> limit.reportAgain(nextSequence));
  }

  /** Returns the report that is due now, with the host to send it to. */
  public Optional<AddressedMessage> tick(Instant now) {
    lapse(now);
    if (granter.isEmpty() || !isDue(now)) {
      return Optional.empty();
    }
    limits.values().forEach(limit -> limit.measure(nextSequence, now));
    boolean periodic = !now.isBefore(reportedAt.plus(ShareLease.REPORT_PERIOD));
    boolean idle = limits.values().stream().allMatch(HeldLimit::isIdle);
    boolean silent = periodic ? idle : !acknowledges;
    urgent = false;
    if (silent && !hasNews()) {
      return Optional.empty();
    }
    reportedAt = now;
    introduced = epoch;
    acknowledges = false;
    sent.removeIf(report -> !now.isBefore(report.at().plus(ShareLease.LEASE)));
    sent.addLast(new SentReport(nextSequence, now));
    long acknowledgedGrant = heldEpoch == epoch ? lastGrant : 0;
    Report report = new Report(epoch, session, nextSequence, acknowledgedGrant, demands(), held());
    nextSequence++;
    return Optional.of(new AddressedMessage(granter.get(), report));
  }

  /** Pairs a message with its receiver. Immutable and thread safe. */
  public record AddressedMessage(HostId to, LimitMessage message) {}

  /** Returns the share held of a customer's limit beyond the floor. */
  public Share shareOf(CustomerId customer) {
    HeldLimit limit = limits.get(customer);
    return limit == null ? Share.NONE : limit.share();
  }

  /** Returns the tokens that could be taken now, in tokens. */
  public double level(Customer customer, Instant now) {
    lapse(now);
    return limit(customer, now).level(now);
  }

  private boolean isDue(Instant now) {
    Duration gap = urgent ? ShareLease.URGENT_GAP : ShareLease.REPORT_PERIOD;
    return !now.isBefore(reportedAt.plus(gap));
  }

  private boolean hasNews() {
    return introduced != epoch
        || limits.values().stream().anyMatch(limit -> limit.isReportedAfter(answered));
  }

  private List<Demand> demands() {
    return limits.values().stream()
        .filter(limit -> limit.isReportedAfter(answered))
        .map(limit -> toReport(limit.reported()))
        .toList();
  }

  /** Returns the shares of an earlier leader, which the present one may let go on. */
  private List<HeldShare> held() {
    if (heldEpoch == epoch || lastGrant == 0) {
      return List.of();
    }
    return limits.values().stream()
        .filter(limit -> !limit.share().equals(Share.NONE))
        .map(limit -> new HeldShare(limit.customer().id(), limit.share()))
        .toList();
  }

  private Demand toReport(Demand demand) {
    return leaving ? new Demand(demand.customer(), 0, 0, 0, demand.returnedTokens()) : demand;
  }

  private void follow(HostId from, long newEpoch) {
    if (newEpoch > epoch || granter.isEmpty()) {
      epoch = newEpoch;
      granter = Optional.of(from);
      answered = 0;
      urgent = true;
    }
  }

  private void accept(Grant grant, Instant now) {
    boolean fromOther = lastGrant != 0 && grant.epoch() != heldEpoch;
    if (grant.epoch() != epoch
        || grant.session() != session
        || (fromOther ? !grant.adoptsHeldShares() : grant.number() <= lastGrant)
        || !knowsAll(grant.allotments())) {
      return;
    }
    Optional<Instant> sentAt = sentAt(grant.answeredSequence());
    if (sentAt.isEmpty()) {
      return;
    }
    Instant end = sentAt.get().plus(ShareLease.LEASE);
    if (!end.isAfter(now)) {
      return;
    }
    if (fromOther) {
      limits.values().forEach(HeldLimit::adopted);
    }
    leaseEnd = end.isAfter(leaseEnd) ? end : leaseEnd;
    heldEpoch = grant.epoch();
    lastGrant = grant.number();
    answered = Math.max(answered, grant.answeredSequence());
    grant.allotments().forEach(allotment -> allot(allotment, now));
  }

  private boolean knowsAll(List<Allotment> allotments) {
    return allotments.stream()
        .map(Allotment::customer)
        .allMatch(id -> limits.containsKey(id) || configuration.customers().containsKey(id));
  }

  private void allot(Allotment allotment, Instant now) {
    HeldLimit limit = limits.get(allotment.customer());
    if (limit == null) {
      Customer customer = configuration.customers().get(allotment.customer());
      if (customer == null) {
        throw new IllegalStateException("grant for an unknown customer " + allotment.customer());
      }
      limit = limit(customer, now);
    }
    boolean shrinks = isLess(allotment.share(), limit.share());
    limit.allot(allotment, now);
    if (shrinks || limit.isForOneRequest()) {
      acknowledges = true;
      urgent = true;
    }
  }

  private static boolean isLess(Share share, Share before) {
    return share.tokensPerSecond() < before.tokensPerSecond()
        || share.burstTokens() < before.burstTokens();
  }

  private Optional<Instant> sentAt(long sequence) {
    while (!sent.isEmpty() && sent.getFirst().sequence() < sequence) {
      sent.removeFirst();
    }
    return sent.isEmpty() || sent.getFirst().sequence() != sequence
        ? Optional.empty()
        : Optional.of(sent.getFirst().at());
  }

  /** Ends the session if its lease has run out, so that no share outlives it. */
  private void lapse(Instant now) {
    if (lastGrant == 0 || now.isBefore(leaseEnd)) {
      return;
    }
    limits.values().forEach(limit -> limit.letGo(leaseEnd));
    session++;
    nextSequence = FIRST_SEQUENCE;
    answered = 0;
    lastGrant = 0;
    sent.clear();
    urgent = true;
    askAhead(now);
  }

  private HeldLimit limit(Customer customer, Instant now) {
    return limits.computeIfAbsent(
        customer.id(), id -> new HeldLimit(customer, floorPart(customer), startedAt, now));
  }

  private double floorPart(Customer customer) {
    return Floors.fraction(customer, configuration, place, slots);
  }
}
