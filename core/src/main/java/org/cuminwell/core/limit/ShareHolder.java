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
  static final int MAX_CUSTOMERS_REQUESTED_AHEAD = 64;

  private static final Duration MAX_SHARE_RETRY_AFTER = Duration.ofSeconds(1);
  private static final long FIRST_SEQUENCE = 1;

  private final Place place;
  private final int slots;
  private final Instant startedAt;
  private final Map<CustomerId, LocalLimit> limits = new HashMap<>();
  private final ArrayDeque<SentReport> sentReports = new ArrayDeque<>();

  private Configuration configuration = Configuration.EMPTY;
  private Optional<HostId> leader = Optional.empty();
  private long epoch;
  private long grantEpoch;
  private long reportedEpoch;
  private long session;
  private long nextSequence = FIRST_SEQUENCE;
  private long answeredSequence;
  private long lastGrant;
  private boolean isReportUrgent;
  private boolean hasGrantToAcknowledge;
  private boolean releasing;
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
  public void configure(Configuration newConfiguration, Instant now) {
    if (newConfiguration.revision().equals(configuration.revision())) {
      return;
    }
    expireLease(now);
    configuration = newConfiguration;
    for (LocalLimit limit : limits.values()) {
      Customer customer = newConfiguration.customers().get(limit.customer().id());
      if (customer != null) {
        limit.configure(customer, floorFraction(customer), now);
      }
    }
    requestAhead(now);
  }

  /**
   * Has the next report name every customer, where they are few, so that the first requests of each
   * find a share of what nobody else wants.
   */
  private void requestAhead(Instant now) {
    if (configuration.customers().size() > MAX_CUSTOMERS_REQUESTED_AHEAD || releasing) {
      return;
    }
    for (Customer customer : configuration.customers().values()) {
      if (mayHaveShare(customer)) {
        limitOf(customer, now).scheduleReport(nextSequence);
      }
    }
  }

  private boolean mayHaveShare(Customer customer) {
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
    expireLease(now);
    long burst = customer.limit().burstTokens();
    if (tokens > burst) {
      return new Admission.TooLarge(burst);
    }
    LocalLimit customerLimit = limitOf(customer, now);
    customerLimit.recordRequest(tokens);
    return tryAdmit(customerLimit, tokens, now);
  }

  /** Tries again to charge the estimate of a request that did not fit before. */
  public Admission admitAgain(Customer customer, long tokens, Instant now) {
    expireLease(now);
    return tryAdmit(limitOf(customer, now), tokens, now);
  }

  private Admission tryAdmit(LocalLimit limit, long tokens, Instant now) {
    if (limit.tryConsume(tokens, now)) {
      return new Admission.Admitted();
    }
    isReportUrgent |= !limit.isOverRate();
    Duration wait = limit.timeUntil(tokens, now);
    return limit.isOverRate()
        ? new Admission.OverRate(wait)
        : new Admission.ShareShort(
            wait.compareTo(MAX_SHARE_RETRY_AFTER) < 0 ? wait : MAX_SHARE_RETRY_AFTER);
  }

  /** Replaces the estimate that was charged by what was used. */
  public void settle(Customer customer, long estimate, long used, Instant now) {
    if (!customer.limit().equals(TokenLimit.UNLIMITED)) {
      expireLease(now);
      limitOf(customer, now).charge(used - estimate, now);
    }
  }

  /** Takes in a message of the control host {@code from}. */
  public void onMessage(HostId from, LimitMessage message, Instant now) {
    expireLease(now);
    switch (message) {
      case LeaderAnnouncement m -> followLeader(from, m.epoch());
      case Grant m -> acceptGrant(m, now);
      case Report m -> {}
    }
  }

  /** Gives all shares back with the next report and asks for none, for a graceful shutdown. */
  public void releaseShares() {
    releasing = true;
    isReportUrgent = true;
    limits.values().forEach(limit -> limit.scheduleReport(nextSequence));
  }

  /** Returns the report that is due now, with the host to send it to. */
  public Optional<AddressedMessage> tick(Instant now) {
    expireLease(now);
    if (leader.isEmpty() || !isReportDue(now)) {
      return Optional.empty();
    }
    limits.values().forEach(limit -> limit.updateReport(nextSequence, now));
    boolean periodic = !now.isBefore(reportedAt.plus(ShareLease.REPORT_PERIOD));
    boolean idle = limits.values().stream().allMatch(LocalLimit::isIdle);
    boolean canSkip = periodic ? idle : !hasGrantToAcknowledge;
    isReportUrgent = false;
    if (canSkip && !hasUnansweredChanges()) {
      return Optional.empty();
    }
    reportedAt = now;
    reportedEpoch = epoch;
    hasGrantToAcknowledge = false;
    sentReports.removeIf(report -> !now.isBefore(report.at().plus(ShareLease.LEASE)));
    sentReports.addLast(new SentReport(nextSequence, now));
    long acknowledgedGrant = grantEpoch == epoch ? lastGrant : 0;
    Report report =
        new Report(epoch, session, nextSequence, acknowledgedGrant, demands(), heldShares());
    nextSequence++;
    return Optional.of(new AddressedMessage(leader.get(), report));
  }

  /** Pairs a message with its receiver. Immutable and thread safe. */
  public record AddressedMessage(HostId to, LimitMessage message) {}

  /** Returns the share held of a customer's limit beyond the floor. */
  public Share shareOf(CustomerId customer) {
    LocalLimit limit = limits.get(customer);
    return limit == null ? Share.NONE : limit.share();
  }

  /** Returns the tokens that could be taken now, in tokens. */
  public double availableTokens(Customer customer, Instant now) {
    expireLease(now);
    return limitOf(customer, now).level(now);
  }

  private boolean isReportDue(Instant now) {
    Duration gap = isReportUrgent ? ShareLease.MIN_REPORT_GAP : ShareLease.REPORT_PERIOD;
    return !now.isBefore(reportedAt.plus(gap));
  }

  private boolean hasUnansweredChanges() {
    return reportedEpoch != epoch
        || limits.values().stream().anyMatch(limit -> limit.mustReport(answeredSequence));
  }

  private List<Demand> demands() {
    return limits.values().stream()
        .filter(limit -> limit.mustReport(answeredSequence))
        .map(limit -> demandToReport(limit.reportedDemand()))
        .toList();
  }

  /** Returns the shares of an earlier leader, which the present one may let go on. */
  private List<HeldShare> heldShares() {
    if (grantEpoch == epoch || lastGrant == 0) {
      return List.of();
    }
    return limits.values().stream()
        .filter(limit -> !limit.share().equals(Share.NONE))
        .map(limit -> new HeldShare(limit.customer().id(), limit.share()))
        .toList();
  }

  private Demand demandToReport(Demand demand) {
    return releasing ? new Demand(demand.customer(), 0, 0, 0, demand.returnedTokens()) : demand;
  }

  private void followLeader(HostId from, long newEpoch) {
    if (newEpoch > epoch || leader.isEmpty()) {
      epoch = newEpoch;
      leader = Optional.of(from);
      answeredSequence = 0;
      isReportUrgent = true;
    }
  }

  private void acceptGrant(Grant grant, Instant now) {
    boolean isFromNewLeader = lastGrant != 0 && grant.epoch() != grantEpoch;
    if (grant.epoch() != epoch
        || grant.session() != session
        || (isFromNewLeader ? !grant.adoptsHeldShares() : grant.number() <= lastGrant)
        || !knowsAllCustomers(grant.allotments())) {
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
    if (isFromNewLeader) {
      limits.values().forEach(LocalLimit::resetCredit);
    }
    leaseEnd = end.isAfter(leaseEnd) ? end : leaseEnd;
    grantEpoch = grant.epoch();
    lastGrant = grant.number();
    answeredSequence = Math.max(answeredSequence, grant.answeredSequence());
    grant.allotments().forEach(allotment -> applyAllotment(allotment, now));
  }

  private boolean knowsAllCustomers(List<Allotment> allotments) {
    return allotments.stream()
        .map(Allotment::customer)
        .allMatch(id -> limits.containsKey(id) || configuration.customers().containsKey(id));
  }

  private void applyAllotment(Allotment allotment, Instant now) {
    LocalLimit limit = limits.get(allotment.customer());
    if (limit == null) {
      Customer customer = configuration.customers().get(allotment.customer());
      if (customer == null) {
        throw new IllegalStateException("grant for an unknown customer " + allotment.customer());
      }
      limit = limitOf(customer, now);
    }
    boolean shrinks = isSmaller(allotment.share(), limit.share());
    limit.applyAllotment(allotment, now);
    if (shrinks || limit.isForSingleRequest()) {
      hasGrantToAcknowledge = true;
      isReportUrgent = true;
    }
  }

  private static boolean isSmaller(Share share, Share before) {
    return share.tokensPerSecond() < before.tokensPerSecond()
        || share.burstTokens() < before.burstTokens();
  }

  private Optional<Instant> sentAt(long sequence) {
    while (!sentReports.isEmpty() && sentReports.getFirst().sequence() < sequence) {
      sentReports.removeFirst();
    }
    return sentReports.isEmpty() || sentReports.getFirst().sequence() != sequence
        ? Optional.empty()
        : Optional.of(sentReports.getFirst().at());
  }

  /** Ends the session if its lease has run out, so that no share outlives it. */
  private void expireLease(Instant now) {
    if (lastGrant == 0 || now.isBefore(leaseEnd)) {
      return;
    }
    limits.values().forEach(limit -> limit.dropShare(leaseEnd));
    session++;
    nextSequence = FIRST_SEQUENCE;
    answeredSequence = 0;
    lastGrant = 0;
    sentReports.clear();
    isReportUrgent = true;
    requestAhead(now);
  }

  private LocalLimit limitOf(Customer customer, Instant now) {
    return limits.computeIfAbsent(
        customer.id(), id -> new LocalLimit(customer, floorFraction(customer), startedAt, now));
  }

  private double floorFraction(Customer customer) {
    return Floors.fraction(customer, configuration, place, slots);
  }
}
