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
 * Follows the claims of one gateway from the question to the acknowledged outcome.
 *
 * <p>Invariants: {@link ClaimAction.Proceed} is given once at most for a request, only after its
 * claim was granted and before any release of it; a claim is released only if its call was never
 * sent or certainly did not run. Not thread safe: one thread owns it.
 */
public final class ClaimTracker {

  /** How long a gateway waits for the answer to a claim. */
  public static final Duration ASK_TIMEOUT = Duration.ofSeconds(3);

  /** How long a gateway repeats an outcome or a release that nobody has acknowledged. */
  public static final Duration SETTLE_TIMEOUT = Duration.ofMinutes(10);

  /** How many outcomes and releases may wait for an acknowledgement. */
  public static final int MAX_UNSETTLED = 8_192;

  /** How many bytes of answers may wait for an acknowledgement, all together. */
  public static final long MAX_UNSETTLED_BYTES = 16L * 1024 * 1024;

  private static final Duration REPEAT_AFTER = Duration.ofMillis(400);
  private static final Duration RETRY_SOON = Duration.ofSeconds(1);

  private final HostId self;
  private final Map<RequestId, Waiting> waiting = new HashMap<>();
  private final Map<RequestId, ClaimKey> held = new HashMap<>();
  private final Map<RequestId, Waiting> unsettled = new HashMap<>();
  private final TreeSet<HostId> controls = new TreeSet<>();
  private @Nullable HostId leader;
  private long unsettledBytes;

  /** Is a change that has not been answered yet. */
  private static final class Waiting {
    private final ClaimChange change;
    private final Instant since;
    private Instant toldAt;
    private @Nullable HostId toldTo;

    Waiting(ClaimChange change, Instant now) {
      this.change = change;
      this.since = now;
      this.toldAt = now;
    }
  }

  /** Makes a tracker for the gateway {@code self}. */
  public ClaimTracker(HostId self) {
    this.self = self;
  }

  /**
   * Asks to claim the key for the request.
   *
   * @param runLimit how long the call may be under way after the claim
   */
  public List<ClaimAction> requestClaim(
      RequestId request, ClaimKey key, Fingerprint fingerprint, Duration runLimit, Instant now) {
    if (controls.isEmpty()) {
      return List.of(new Refuse(request, noQuorum()));
    }
    if (unsettled.size() >= MAX_UNSETTLED) {
      return List.of(
          new Refuse(
              request,
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY,
                  "too many outcomes wait for the control hosts; try again",
                  RETRY_SOON)));
    }
    List<ClaimAction> steps = new ArrayList<>();
    var claim =
        new ClaimChange.Claim(
            key, new ClaimId(self, request), fingerprint, wholeMillis(runLimit.plus(ASK_TIMEOUT)));
    Waiting asked = new Waiting(claim, now);
    waiting.put(request, asked);
    tell(asked, now, steps);
    return steps;
  }

  /** Tells that the call of a request ended with the outcome, if it was claimed. */
  public List<ClaimAction> recordOutcome(RequestId request, CallOutcome callOutcome, Instant now) {
    ClaimKey key = held.remove(request);
    return key == null
        ? List.of()
        : settle(
            new ClaimChange.Settle(key, new ClaimId(self, request), fitting(callOutcome)), now);
  }

  /** Gives the claim of a request back, whose call certainly has not run. */
  public List<ClaimAction> releaseClaim(RequestId request, Instant now) {
    ClaimKey key = held.remove(request);
    return key == null
        ? List.of()
        : settle(new ClaimChange.Release(key, new ClaimId(self, request)), now);
  }

  /** Takes in a message of a control host. */
  public List<ClaimAction> onMessage(HostId peer, IdempotencyMessage message, Instant now) {
    return switch (message) {
      case IdempotencyMessage.ChangeRequest m -> List.of();
      case IdempotencyMessage.ChangeReply m -> answered(m);
      case IdempotencyMessage.LeaderUpdate m -> led(peer, m, now);
    };
  }

  /** Takes in that a process can't be reached any more. */
  public void onPeerDisconnected(HostId peer) {
    controls.remove(peer);
    if (peer.equals(leader)) {
      leader = null;
    }
  }

  /** Repeats what has not been answered, and gives up what has waited too long. */
  public List<ClaimAction> tick(Instant now) {
    List<ClaimAction> steps = new ArrayList<>();
    for (Waiting asked : List.copyOf(waiting.values())) {
      if (now.isBefore(asked.since.plus(ASK_TIMEOUT))) {
        repeat(asked, now, steps);
      } else {
        waiting.remove(asked.change.id().request());
        steps.add(new Refuse(asked.change.id().request(), noQuorum()));
        steps.addAll(settle(new ClaimChange.Release(asked.change.key(), asked.change.id()), now));
      }
    }
    Iterator<Waiting> changes = unsettled.values().iterator();
    while (changes.hasNext()) {
      Waiting change = changes.next();
      if (now.isBefore(change.since.plus(SETTLE_TIMEOUT))) {
        repeat(change, now, steps);
      } else {
        changes.remove();
        unsettledBytes -= bytes(change.change);
      }
    }
    return steps;
  }

  /** Returns the control hosts that can be reached. */
  public List<HostId> controlHosts() {
    return List.copyOf(controls);
  }

  /** Returns whether every outcome and release has been acknowledged. */
  public boolean isIdle() {
    return waiting.isEmpty() && held.isEmpty() && unsettled.isEmpty();
  }

  private List<ClaimAction> answered(IdempotencyMessage.ChangeReply message) {
    RequestId request = message.id().request();
    if (!message.id().gateway().equals(self)) {
      return List.of();
    }
    if (message.answer() instanceof ClaimAnswer.Acknowledged) {
      Waiting settled = unsettled.remove(request);
      unsettledBytes -= settled == null ? 0 : bytes(settled.change);
      return List.of();
    }
    Waiting asked = waiting.remove(request);
    if (asked == null) {
      return List.of();
    }
    if (message.answer() instanceof ClaimAnswer.Granted) {
      held.put(request, asked.change.key());
      return List.of(new ClaimAction.Proceed(request));
    }
    return List.of(refusal(request, message.answer()));
  }

  private static ClaimAction refusal(RequestId request, ClaimAnswer answer) {
    return switch (answer) {
      case ClaimAnswer.Ended(CallOutcome.Answered kept) -> new ClaimAction.Replay(request, kept);
      case ClaimAnswer.Ended(CallOutcome.BodyNotKept o) -> new Refuse(request, notKept(o));
      case ClaimAnswer.Ended(CallOutcome.AnswerLost _) ->
          new Refuse(
              request,
              Failure.ran(
                  ErrorCode.ANSWER_NOT_KEPT, "the call ran; its answer was lost; don't repeat it"));
      case ClaimAnswer.Ended(CallOutcome.Unknown _) ->
          new Refuse(
              request,
              Failure.mayHaveRun(
                  ErrorCode.OUTCOME_UNKNOWN,
                  "the call under this Idempotency-Key may have run; ask the service before you"
                      + " use another key"));
      case ClaimAnswer.InProgress _ ->
          new Refuse(
              request,
              new Failure(
                  ErrorCode.IN_PROGRESS,
                  "the call under this Idempotency-Key is under way; send it again for its outcome",
                  Verdict.mayHaveRun(),
                  Optional.of(RETRY_SOON)));
      case ClaimAnswer.KeyReused _ ->
          new Refuse(
              request,
              Failure.notRun(
                  ErrorCode.KEY_REUSED,
                  "this Idempotency-Key stands for a call of other content; use a new one"));
      case ClaimAnswer.LimitReached _ ->
          new Refuse(
              request,
              Failure.notRunRetryAfter(
                  ErrorCode.BUSY, "too many Idempotency-Keys are in use; wait", RETRY_SOON));
      case ClaimAnswer.Withdrawn _, ClaimAnswer.Granted _, ClaimAnswer.Acknowledged _ ->
          new Refuse(request, noQuorum());
    };
  }

  private static Failure notKept(CallOutcome.BodyNotKept outcome) {
    return Failure.ran(
        ErrorCode.ANSWER_NOT_KEPT,
        "the call ran and was answered with status "
            + outcome.status()
            + " and "
            + outcome.bytes()
            + " bytes of SHA-256 "
            + outcome.sha256()
            + ", too long to keep; don't repeat it");
  }

  private List<ClaimAction> led(HostId peer, IdempotencyMessage.LeaderUpdate message, Instant now) {
    controls.add(peer);
    HostId before = leader;
    leader = message.leader().filter(controls::contains).orElse(null);
    if (leader == null || leader.equals(before)) {
      return List.of();
    }
    List<ClaimAction> steps = new ArrayList<>();
    waiting.values().forEach(change -> tell(change, now, steps));
    return steps;
  }

  private List<ClaimAction> settle(ClaimChange change, Instant now) {
    List<ClaimAction> steps = new ArrayList<>();
    Waiting settling = new Waiting(change, now);
    unsettled.put(change.id().request(), settling);
    unsettledBytes += bytes(change);
    tell(settling, now, steps);
    return steps;
  }

  private void repeat(Waiting change, Instant now, List<ClaimAction> steps) {
    if (!now.isBefore(change.toldAt.plus(REPEAT_AFTER))) {
      tell(change, now, steps);
    }
  }

  /** Tells the leader; where it is unknown or was just told, the next control host in order. */
  private void tell(Waiting change, Instant now, List<ClaimAction> steps) {
    change.toldAt = now;
    if (controls.isEmpty()) {
      return;
    }
    HostId known = leader;
    HostId target = known != null && !known.equals(change.toldTo) ? known : after(change.toldTo);
    change.toldTo = target;
    steps.add(new Send(target, new IdempotencyMessage.ChangeRequest(change.change)));
  }

  private HostId after(@Nullable HostId last) {
    HostId next = last == null ? null : controls.higher(last);
    return next == null ? controls.first() : next;
  }

  private CallOutcome fitting(CallOutcome callOutcome) {
    return callOutcome instanceof CallOutcome.Answered answered
            && unsettledBytes + answered.body().length() > MAX_UNSETTLED_BYTES
        ? answered.withoutBody()
        : callOutcome;
  }

  private static long bytes(ClaimChange change) {
    return change instanceof ClaimChange.Settle(var _, var _, CallOutcome.Answered kept)
        ? kept.body().length()
        : 0;
  }

  private static Duration wholeMillis(Duration time) {
    return Duration.ofMillis(time.toMillis());
  }

  private static Failure noQuorum() {
    return Failure.notRunRetryAfter(
        ErrorCode.NO_QUORUM,
        "the control hosts did not confirm the Idempotency-Key; try again",
        RETRY_SOON);
  }
}
