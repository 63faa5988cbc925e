package org.cuminwell.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.cuminwell.core.idempotency.ClaimAction.Refuse;
import org.cuminwell.core.idempotency.ClaimAction.Send;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the claims of one gateway, from the claim request to the acknowledged outcome or release.
 *
 * <p>Invariants: {@link ClaimAction.Proceed} is returned at most once for a request, after its
 * claim is granted and before it is released; a claim is released only if its call was never sent
 * or has certainly not run. Not thread safe: one thread owns it.
 */
public final class ClaimTracker {

  /** How long a gateway waits for the control hosts' reply to a claim. */
  public static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(3);

  /** How long a gateway resends an outcome or a release that is not acknowledged. */
  public static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMinutes(10);

  /**
   * The maximum number of outcomes and releases that wait for acknowledgement before new claims are
   * refused.
   */
  public static final int MAX_UNACKNOWLEDGED = 8_192;

  /** The maximum total size of the response bodies that wait for acknowledgement, in bytes. */
  public static final long MAX_UNACKNOWLEDGED_BODY_BYTES = 16L * 1024 * 1024;

  private static final Duration RESEND_INTERVAL = Duration.ofMillis(400);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final HostId self;
  private final Map<RequestId, UnansweredChange> pendingClaims = new HashMap<>();
  private final Map<RequestId, ClaimKey> grantedKeys = new HashMap<>();
  private final Map<RequestId, UnansweredChange> unacknowledged = new HashMap<>();
  private final TreeSet<HostId> controlHosts = new TreeSet<>();
  private @Nullable HostId leader;
  private long unacknowledgedBodyBytes;

  /**
   * Holds a change that the control hosts have not replied to yet.
   *
   * <p>{@code lastAttemptAt} is set even if no control host was connected and nothing was sent;
   * then {@code sentTo} stays as it was.
   */
  private static final class UnansweredChange {
    private final ClaimChange change;
    private final Instant createdAt;
    private Instant lastAttemptAt;
    private @Nullable HostId sentTo;

    UnansweredChange(ClaimChange change, Instant now) {
      this.change = change;
      this.createdAt = now;
      this.lastAttemptAt = now;
    }
  }

  /** Creates a tracker for the gateway {@code self}. */
  public ClaimTracker(HostId self) {
    this.self = self;
  }

  /**
   * Requests the claim of the key for a request.
   *
   * @param runLimit how long the call may run after the claim is granted
   */
  public List<ClaimAction> requestClaim(
      RequestId request, ClaimKey key, Fingerprint fingerprint, Duration runLimit, Instant now) {
    if (controlHosts.isEmpty()) {
      return List.of(new Refuse(request, claimNotConfirmed()));
    }
    if (unacknowledged.size() >= MAX_UNACKNOWLEDGED) {
      return List.of(
          new Refuse(
              request,
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY,
                  "too many call outcomes wait for confirmation by the control hosts; try again",
                  RETRY_AFTER)));
    }
    List<ClaimAction> actions = new ArrayList<>();
    // The control hosts count the run limit from the time of the claim in their log. The grant may
    // arrive up to CLAIM_TIMEOUT later, and only then does the call start.
    var claim =
        new ClaimChange.Claim(
            key,
            new ClaimId(self, request),
            fingerprint,
            wholeMillis(runLimit.plus(CLAIM_TIMEOUT)));
    UnansweredChange pendingClaim = new UnansweredChange(claim, now);
    pendingClaims.put(request, pendingClaim);
    addSend(pendingClaim, now, actions);
    return actions;
  }

  /** Sends the outcome of a request's call to the control hosts, if its key was claimed. */
  public List<ClaimAction> recordOutcome(RequestId request, CallOutcome callOutcome, Instant now) {
    ClaimKey key = grantedKeys.remove(request);
    return key == null
        ? List.of()
        : sendUntilAcknowledged(
            new ClaimChange.Settle(key, new ClaimId(self, request), withoutBodyIfFull(callOutcome)),
            now);
  }

  /**
   * Releases the claim of a request, if it has one. The request's call must certainly not have run.
   */
  public List<ClaimAction> releaseClaim(RequestId request, Instant now) {
    ClaimKey key = grantedKeys.remove(request);
    return key == null
        ? List.of()
        : sendUntilAcknowledged(new ClaimChange.Release(key, new ClaimId(self, request)), now);
  }

  /** Handles a message of a control host. Change requests are ignored: only gateways send them. */
  public List<ClaimAction> onMessage(HostId peer, IdempotencyMessage message, Instant now) {
    return switch (message) {
      case IdempotencyMessage.ChangeRequest m -> List.of();
      case IdempotencyMessage.ChangeReply m -> onReply(m);
      case IdempotencyMessage.LeaderUpdate m -> onLeaderUpdate(peer, m, now);
    };
  }

  /** Records that the connection to another host was lost. */
  public void onPeerDisconnected(HostId peer) {
    controlHosts.remove(peer);
    if (peer.equals(leader)) {
      leader = null;
    }
  }

  /**
   * Resends changes without a reply. Refuses requests whose claim has timed out and releases those
   * claims, and drops unacknowledged changes after {@link #ACKNOWLEDGEMENT_TIMEOUT}.
   */
  public List<ClaimAction> onTick(Instant now) {
    List<ClaimAction> actions = new ArrayList<>();
    for (UnansweredChange pendingClaim : List.copyOf(pendingClaims.values())) {
      if (now.isBefore(pendingClaim.createdAt.plus(CLAIM_TIMEOUT))) {
        resendIfDue(pendingClaim, now, actions);
      } else {
        pendingClaims.remove(pendingClaim.change.id().request());
        actions.add(new Refuse(pendingClaim.change.id().request(), claimNotConfirmed()));
        actions.addAll(
            sendUntilAcknowledged(
                new ClaimChange.Release(pendingClaim.change.key(), pendingClaim.change.id()), now));
      }
    }
    Iterator<UnansweredChange> changes = unacknowledged.values().iterator();
    while (changes.hasNext()) {
      UnansweredChange change = changes.next();
      if (now.isBefore(change.createdAt.plus(ACKNOWLEDGEMENT_TIMEOUT))) {
        resendIfDue(change, now, actions);
      } else {
        changes.remove();
        unacknowledgedBodyBytes -= bodyBytes(change.change);
      }
    }
    return actions;
  }

  /** Returns the connected control hosts. */
  public List<HostId> controlHosts() {
    return List.copyOf(controlHosts);
  }

  /** Returns whether no claim is pending or held, and every outcome and release is acknowledged. */
  public boolean isIdle() {
    return pendingClaims.isEmpty() && grantedKeys.isEmpty() && unacknowledged.isEmpty();
  }

  private List<ClaimAction> onReply(IdempotencyMessage.ChangeReply message) {
    RequestId request = message.id().request();
    if (!message.id().gateway().equals(self)) {
      return List.of();
    }
    if (message.answer() instanceof ClaimAnswer.Acknowledged) {
      UnansweredChange acknowledgedChange = unacknowledged.remove(request);
      unacknowledgedBodyBytes -=
          acknowledgedChange == null ? 0 : bodyBytes(acknowledgedChange.change);
      return List.of();
    }
    UnansweredChange pendingClaim = pendingClaims.remove(request);
    if (pendingClaim == null) {
      return List.of();
    }
    if (message.answer() instanceof ClaimAnswer.Granted) {
      grantedKeys.put(request, pendingClaim.change.key());
      return List.of(new ClaimAction.Proceed(request));
    }
    return List.of(toAction(request, message.answer()));
  }

  /**
   * Converts the control hosts' reply to a claim that was not granted. {@code Granted} and {@code
   * Acknowledged} do not occur here, since {@link #onReply} handles them.
   */
  private static ClaimAction toAction(RequestId request, ClaimAnswer answer) {
    return switch (answer) {
      case ClaimAnswer.Ended(CallOutcome.Answered kept) -> new ClaimAction.Replay(request, kept);
      case ClaimAnswer.Ended(CallOutcome.BodyNotKept o) -> new Refuse(request, notKept(o));
      case ClaimAnswer.Ended(CallOutcome.AnswerLost _) ->
          new Refuse(
              request,
              Failure.ran(
                  ErrorCode.ANSWER_NOT_KEPT,
                  "the call ran, but its response was lost; don't repeat it"));
      case ClaimAnswer.Ended(CallOutcome.Unknown _) ->
          new Refuse(
              request,
              Failure.mayHaveRun(
                  ErrorCode.OUTCOME_UNKNOWN,
                  "the call with this Idempotency-Key may have run; check in the called service"
                      + " whether it did before you use another key"));
      case ClaimAnswer.InProgress _ ->
          new Refuse(
              request,
              new Failure(
                  ErrorCode.IN_PROGRESS,
                  "the call with this Idempotency-Key is in progress; send it again for its outcome",
                  Verdict.mayHaveRun(),
                  Optional.of(RETRY_AFTER)));
      case ClaimAnswer.KeyReused _ ->
          new Refuse(
              request,
              Failure.notRun(
                  ErrorCode.KEY_REUSED,
                  "this Idempotency-Key was used for a call with other content; use a new key"));
      case ClaimAnswer.LimitReached _ ->
          new Refuse(
              request,
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY,
                  "too many Idempotency-Keys are in use; try again later",
                  RETRY_AFTER));
      case ClaimAnswer.Withdrawn _, ClaimAnswer.Granted _, ClaimAnswer.Acknowledged _ ->
          new Refuse(request, claimNotConfirmed());
    };
  }

  private static Failure notKept(CallOutcome.BodyNotKept outcome) {
    return Failure.ran(
        ErrorCode.ANSWER_NOT_KEPT,
        "the call ran and its response had status "
            + outcome.status()
            + " and "
            + outcome.bytes()
            + " bytes, SHA-256 "
            + outcome.sha256()
            + ", too long to keep; don't repeat it");
  }

  /** Records the leader. If there is a new one, resends all pending claims. */
  private List<ClaimAction> onLeaderUpdate(
      HostId peer, IdempotencyMessage.LeaderUpdate message, Instant now) {
    controlHosts.add(peer);
    HostId previousLeader = leader;
    leader = message.leader().filter(controlHosts::contains).orElse(null);
    if (leader == null || leader.equals(previousLeader)) {
      return List.of();
    }
    List<ClaimAction> actions = new ArrayList<>();
    pendingClaims.values().forEach(change -> addSend(change, now, actions));
    return actions;
  }

  /** Sends an outcome or a release, which ticks resend until it is acknowledged. */
  private List<ClaimAction> sendUntilAcknowledged(ClaimChange change, Instant now) {
    List<ClaimAction> actions = new ArrayList<>();
    UnansweredChange unansweredChange = new UnansweredChange(change, now);
    unacknowledged.put(change.id().request(), unansweredChange);
    unacknowledgedBodyBytes += bodyBytes(change);
    addSend(unansweredChange, now, actions);
    return actions;
  }

  private void resendIfDue(UnansweredChange change, Instant now, List<ClaimAction> actions) {
    if (!now.isBefore(change.lastAttemptAt.plus(RESEND_INTERVAL))) {
      addSend(change, now, actions);
    }
  }

  /**
   * Adds the action that sends the change to the leader, or to the next control host in order if
   * the leader is unknown or the change was last sent to it. Adds none if no control host is
   * connected.
   */
  private void addSend(UnansweredChange change, Instant now, List<ClaimAction> actions) {
    change.lastAttemptAt = now;
    if (controlHosts.isEmpty()) {
      return;
    }
    HostId knownLeader = leader;
    HostId target =
        knownLeader != null && !knownLeader.equals(change.sentTo)
            ? knownLeader
            : nextControlHost(change.sentTo);
    change.sentTo = target;
    actions.add(new Send(target, new IdempotencyMessage.ChangeRequest(change.change)));
  }

  private HostId nextControlHost(@Nullable HostId last) {
    HostId next = last == null ? null : controlHosts.higher(last);
    return next == null ? controlHosts.first() : next;
  }

  /**
   * Returns the outcome, without the body if keeping it would exceed {@link
   * #MAX_UNACKNOWLEDGED_BODY_BYTES}.
   */
  private CallOutcome withoutBodyIfFull(CallOutcome callOutcome) {
    return callOutcome instanceof CallOutcome.Answered answered
            && unacknowledgedBodyBytes + answered.body().length() > MAX_UNACKNOWLEDGED_BODY_BYTES
        ? answered.withoutBody()
        : callOutcome;
  }

  private static long bodyBytes(ClaimChange change) {
    return change instanceof ClaimChange.Settle(var _, var _, CallOutcome.Answered kept)
        ? kept.body().length()
        : 0;
  }

  private static Duration wholeMillis(Duration time) {
    return Duration.ofMillis(time.toMillis());
  }

  /** Returns the failure of a claim that the control hosts have not confirmed as granted. */
  private static Failure claimNotConfirmed() {
    return Failure.notRunRetryAfter(
        ErrorCode.NO_QUORUM,
        "the control hosts did not confirm the Idempotency-Key; try again",
        RETRY_AFTER);
  }
}
