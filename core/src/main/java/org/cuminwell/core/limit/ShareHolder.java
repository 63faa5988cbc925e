package org.cuminwell.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
 * used no longer than {@link ShareLease#LEASE} after sending the report that its grant answers;
 * tokens come only from the floor, from the share as time passes, or as credit in a grant, and each
 * grant counts once. Shares of a replaced leader stay in use until their lease ends or the new
 * leader adopts them; it adopts either all shares of this gateway or none. Not thread safe: one
 * thread owns it.
 */
public final class ShareHolder {

  /**
   * Largest number of customers for which a holder requests shares ahead of their first requests.
   */
  static final int MAX_CUSTOMERS_REQUESTED_AHEAD = 64;

  /** Longest retry-after time when the share is short; by then a grant may have enlarged it. */
  private static final Duration MAX_SHARE_RETRY_AFTER = Duration.ofSeconds(1);

  private static final long FIRST_SEQUENCE = 1;

  private final Place place;
  private final int maxEntryHosts;
  private final Instant startedAt;
  private final Map<CustomerId, LocalLimit> limits = new HashMap<>();
  private final ArrayDeque<SentReport> sentReports = new ArrayDeque<>();
  private List<ShareLogEvent> logEvents = new ArrayList<>();

  private Configuration configuration = Configuration.EMPTY;
  private Optional<HostId> leader = Optional.empty();

  /** Epoch of the leader that this holder follows. */
  private long epoch;

  /** Epoch of the last grant applied. */
  private long grantEpoch;

  /** Epoch that the last report was addressed to. */
  private long reportedEpoch;

  private long session;
  private long nextSequence = FIRST_SEQUENCE;

  /** Highest sequence of a report that the leader has answered. */
  private long answeredSequence;

  /** Number of the last grant applied in this session, or 0. */
  private long lastGrant;

  /** Whether the next report waits only for {@link ShareLease#MIN_REPORT_GAP}. */
  private boolean isReportUrgent;

  private boolean hasGrantToAcknowledge;
  private boolean releasing;
  private Instant leaseEnd;
  private Instant reportedAt = Instant.EPOCH;

  /** Records when a report was sent, because the lease of the grant that answers it starts then. */
  private record SentReport(long sequence, Instant at) {}

  /**
   * Creates a holder without shares.
   *
   * @param maxEntryHosts the maximum number of entry hosts in this data centre
   */
  public ShareHolder(Place place, int maxEntryHosts, Instant now) {
    this.place = place;
    this.maxEntryHosts = maxEntryHosts;
    this.startedAt = now;
    this.leaseEnd = now;
    this.session = now.toEpochMilli();
  }

  /** Applies the limits of the configuration if its revision differs. */
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
   * Puts every customer into the next report if there are few, so that their first requests find a
   * share of the unclaimed part of the limit.
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

  /** Returns whether the customer is limited and may be served in this region. */
  private boolean mayHaveShare(Customer customer) {
    return !customer.limit().equals(TokenLimit.UNLIMITED)
        && (customer.boundTo().isEmpty() || customer.boundTo().contains(place.region()));
  }

  /**
   * Charges the estimate if the tokens are available.
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

  /** Retries a request that was not admitted before; it does not count as demand again. */
  public Admission admitAgain(Customer customer, long tokens, Instant now) {
    expireLease(now);
    return tryAdmit(limitOf(customer, now), tokens, now);
  }

  /** Charges the tokens, or makes the next report urgent if more of the limit may be available. */
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

  /** Replaces the charged estimate by the tokens actually used. */
  public void settle(Customer customer, long estimate, long used, Instant now) {
    if (!customer.limit().equals(TokenLimit.UNLIMITED)) {
      expireLease(now);
      limitOf(customer, now).charge(used - estimate, now);
    }
  }

  /** Handles a message of the control host {@code from}. */
  public void onMessage(HostId from, LimitMessage message, Instant now) {
    expireLease(now);
    switch (message) {
      case LeaderAnnouncement m -> followLeader(from, m.epoch());
      case Grant m -> acceptGrant(m, now);
      case Report m -> {}
    }
  }

  /** Releases all shares with the next report and requests no more, for a graceful shutdown. */
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

  /** Returns what has changed since the last call. */
  public List<ShareLogEvent> takeLogEvents() {
    List<ShareLogEvent> taken = logEvents;
    logEvents = new ArrayList<>();
    return taken;
  }

  /** Returns the share held of a customer's limit, without the floor. */
  public Share shareOf(CustomerId customer) {
    LocalLimit limit = limits.get(customer);
    return limit == null ? Share.NONE : limit.share();
  }

  /**
   * Returns the tokens available for the customer; negative if requests used more than their
   * estimates.
   */
  public double availableTokens(Customer customer, Instant now) {
    expireLease(now);
    return limitOf(customer, now).level(now);
  }

  private boolean isReportDue(Instant now) {
    Duration gap = isReportUrgent ? ShareLease.MIN_REPORT_GAP : ShareLease.REPORT_PERIOD;
    return !now.isBefore(reportedAt.plus(gap));
  }

  /**
   * Returns whether the granter has not yet answered a changed demand, or has not had a report at
   * all.
   */
  private boolean hasUnansweredChanges() {
    return reportedEpoch != epoch
        || limits.values().stream().anyMatch(limit -> limit.mustReport(answeredSequence));
  }

  /** Returns the demands that changed since the last answered report. */
  private List<Demand> demands() {
    return limits.values().stream()
        .filter(limit -> limit.mustReport(answeredSequence))
        .map(limit -> demandToReport(limit.reportedDemand()))
        .toList();
  }

  /** Returns the shares of an earlier leader, which the current leader may adopt. */
  private List<HeldShare> heldShares() {
    if (grantEpoch == epoch || lastGrant == 0) {
      return List.of();
    }
    return limits.values().stream()
        .filter(limit -> !limit.share().equals(Share.NONE))
        .map(limit -> new HeldShare(limit.customer().id(), limit.share()))
        .toList();
  }

  /** Returns the demand, or a demand for nothing during shutdown. */
  private Demand demandToReport(Demand demand) {
    return releasing ? new Demand(demand.customer(), 0, 0, 0, demand.returnedTokens()) : demand;
  }

  /** Switches to a leader with a higher epoch. */
  private void followLeader(HostId from, long newEpoch) {
    if (newEpoch > epoch || leader.isEmpty()) {
      epoch = newEpoch;
      leader = Optional.of(from);
      answeredSequence = 0;
      isReportUrgent = true;
      logEvents.add(new ShareLogEvent.LeaderFollowed(from, newEpoch));
    }
  }

  /**
   * Applies a grant of the current leader and session, unless it is outdated, its lease has expired
   * or it names an unknown customer. While shares of an earlier leader are held, a new leader's
   * grants apply only if they adopt these.
   */
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
      logEvents.add(
          new ShareLogEvent.SharesAdopted(grant.epoch(), Duration.between(now, leaseEnd)));
    }
    leaseEnd = end.isAfter(leaseEnd) ? end : leaseEnd;
    grantEpoch = grant.epoch();
    lastGrant = grant.number();
    answeredSequence = Math.max(answeredSequence, grant.answeredSequence());
    grant.allotments().forEach(allotment -> applyAllotment(allotment, now));
  }

  /** Returns whether every customer of a grant is known to this holder. */
  private boolean knowsAllCustomers(List<Allotment> allotments) {
    return allotments.stream()
        .map(Allotment::customer)
        .allMatch(id -> limits.containsKey(id) || configuration.customers().containsKey(id));
  }

  /** Sets a share; a smaller or single-request share is acknowledged with an urgent report. */
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

  /** Returns when the report was sent, and forgets earlier ones. */
  private Optional<Instant> sentAt(long sequence) {
    while (!sentReports.isEmpty() && sentReports.getFirst().sequence() < sequence) {
      sentReports.removeFirst();
    }
    return sentReports.isEmpty() || sentReports.getFirst().sequence() != sequence
        ? Optional.empty()
        : Optional.of(sentReports.getFirst().at());
  }

  /** Ends the session if its lease has expired, so that no share is used beyond it. */
  private void expireLease(Instant now) {
    if (lastGrant == 0 || now.isBefore(leaseEnd)) {
      return;
    }
    limits.values().forEach(limit -> limit.dropShare(leaseEnd));
    logEvents.add(new ShareLogEvent.LeaseExpired(epoch, grantEpoch));
    session++;
    nextSequence = FIRST_SEQUENCE;
    answeredSequence = 0;
    lastGrant = 0;
    sentReports.clear();
    isReportUrgent = true;
    requestAhead(now);
  }

  /** Returns the limit of the customer, creating it without a share. */
  private LocalLimit limitOf(Customer customer, Instant now) {
    return limits.computeIfAbsent(
        customer.id(), id -> new LocalLimit(customer, floorFraction(customer), startedAt, now));
  }

  private double floorFraction(Customer customer) {
    return Floors.fractionPerHost(customer, configuration, place, maxEntryHosts);
  }
}
