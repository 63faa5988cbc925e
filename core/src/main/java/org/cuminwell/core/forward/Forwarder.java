package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.limit.Admission;
import org.cuminwell.core.limit.LimitRefusal;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.limit.ShareWaitQueue;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.rollout.RolloutMessage;
import org.jspecify.annotations.Nullable;

/**
 * Decides about requests that are forwarded unchanged.
 *
 * <p>Invariants: every request that was opened ends in exactly one {@link ForwardAction.Ended}; one
 * that may run once is sent again only if it has certainly not run; a request is refused as not run
 * only if no attempt may have run. Not thread safe: one thread owns it.
 */
public final class Forwarder {

  private static final int OK = 200;
  private static final Duration UNKNOWN_AGE = Duration.ofDays(1);
  private static final Duration LONGEST_SILENCE = Duration.ofMillis(1_500);
  private static final Duration RETRY_SOON = Duration.ofMillis(300);

  private static final Failure LATE =
      Failure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the request took too long");

  private static final Failure LEFT =
      Failure.mayHaveRun(ErrorCode.CALL_DROPPED, "the caller went away");

  private final ForwardBounds bounds;
  private final EndpointTable endpoints;
  private final EndpointChoice choice;
  private final ForwardVersions versions;
  private final Resends resends;
  private final Map<RequestId, ForwardedCall> calls = new HashMap<>();
  private final ShareWaitQueue<ForwardedCall> awaited = new ShareWaitQueue<>();
  private final AnswerTimes times = new AnswerTimes();

  /** Makes a forwarder of a gateway at {@code here}; the random source makes its draws. */
  public Forwarder(
      Place here,
      EndpointTable endpoints,
      HostDirectory directory,
      ForwardBounds bounds,
      SplittableRandom random) {
    this.bounds = bounds;
    this.endpoints = endpoints;
    this.resends = new Resends(bounds, directory);
    this.versions = new ForwardVersions(endpoints);
    this.choice = new EndpointChoice(here, endpoints, directory, versions, random);
  }

  /**
   * Holds what a decision may rely on.
   *
   * @param configuration what is in force here
   * @param currentAt the moment before which every change committed anywhere is in force here
   * @param limits this gateway's shares of the customers' limits
   * @param intake which new requests are taken
   */
  public record Context(
      ConfigurationIndex configuration,
      Instant currentAt,
      ShareHolder limits,
      AcceptancePolicy intake) {

    Forwarding forwarding() {
      return configuration.configuration().forwarding();
    }

    Revision revision() {
      return configuration.configuration().revision();
    }

    /** Returns how long ago the configuration was last known to be the latest. */
    Duration age(Instant now) {
      return currentAt.equals(Instant.MIN) ? UNKNOWN_AGE : Duration.between(currentAt, now);
    }
  }

  /** Returns what to do about the event, in order. */
  public List<ForwardAction> handle(ForwardEvent event, Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    choice.configure(context.forwarding(), now);
    versions.configure(context.forwarding(), context.currentAt(), now);
    switch (event) {
      case ForwardEvent.RequestReceived e -> open(e.head(), context, now, actions);
      case ForwardEvent.ResponseHeadReceived e -> answerCame(e, context, now, actions);
      case ForwardEvent.BodyStarted e -> {
        ForwardedCall call = calls.get(e.id());
        if (call != null) {
          call.bodyBegan(now);
          choice.began(call, now);
          versions.began(call, now);
        }
      }
      case ForwardEvent.EventGapMeasured e -> {
        ForwardedCall call = current(e.id(), e.attempt());
        if (call != null) {
          choice.eventsCame(call, e.meanGap(), now);
          versions.eventsCame(call, e.meanGap(), now);
        }
      }
      case ForwardEvent.AttemptEnded e -> attemptEnded(e, context, now, actions);
      case ForwardEvent.CallerDisconnected e -> callerLeft(e.id(), context, now, actions);
    }
    return actions;
  }

  /** Returns what is due by now. */
  public List<ForwardAction> tick(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    choice.configure(context.forwarding(), now);
    versions.configure(context.forwarding(), context.currentAt(), now);
    choice.tick(now);
    times.keepOnly(context.forwarding().routes().keySet());
    versions.tick(now);
    retryAwaited(context, now, actions);
    List.copyOf(calls.values()).stream()
        .filter(call -> !now.isBefore(call.deadline()))
        .forEach(call -> giveUp(call, LATE, context, now, actions));
    return actions;
  }

  /** Tries again to start the requests that wait for a share of a limit. */
  public List<ForwardAction> onSharesChanged(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    retryAwaited(context, now, actions);
    return actions;
  }

  /** Ends every request, since this host ends. */
  public List<ForwardAction> abortAll(Context context, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    Failure stopping = notNow(ErrorCode.STOPPING, "this host has stopped; use another");
    List.copyOf(calls.values()).forEach(call -> giveUp(call, stopping, context, now, actions));
    return actions;
  }

  /** Returns what is open. */
  public List<OpenRequest> listOpenRequests(Instant now) {
    return calls.values().stream()
        .map(
            call ->
                new OpenRequest(
                    call.head().callerId(),
                    Duration.between(call.head().arrivedAt(), now),
                    call.attempts(),
                    call.isAnswerPassed()))
        .toList();
  }

  /** Returns how many requests are open. */
  public int openRequestCount() {
    return calls.size();
  }

  /** Returns what to report to control about versions, if that is due. */
  public Optional<RolloutMessage.Report> versionReport(HostId self, Instant now) {
    return versions.report(self, entry -> choice.isCold(entry, now), now);
  }

  /** Returns whether no request is open. */
  public boolean isIdle() {
    return calls.isEmpty();
  }

  /** Returns whether keys may be taken as the configuration in force here has them. */
  public boolean isKeyLeaseValid(Instant currentAt, Instant now) {
    return !currentAt.equals(Instant.MIN) && now.isBefore(currentAt.plus(bounds.keyLease()));
  }

  private void open(
      ForwardRequest head, Context context, Instant now, List<ForwardAction> actions) {
    Optional<ForwardRoute> route = context.configuration().forwardRoute(head.host(), head.path());
    Optional<Customer> customer = head.key().flatMap(context.configuration()::customerByKey);
    Optional<Failure> refusal = refusal(head, route, customer, context, now);
    if (refusal.isPresent()) {
      actions.add(new ForwardAction.Refuse(head.id(), refusal.get()));
      actions.add(ForwardNotes.refused(head, route, customer, refusal, context, now));
      return;
    }
    ForwardedCall call =
        new ForwardedCall(
            head, route.orElseThrow(), customer.filter(_ -> !route.orElseThrow().anonymous()));
    calls.put(call.id(), call);
    admit(call, context, now, actions);
  }

  private Optional<Failure> refusal(
      ForwardRequest head,
      Optional<ForwardRoute> route,
      Optional<Customer> customer,
      Context context,
      Instant now) {
    if (!takes(context.intake(), route, now)) {
      return Optional.of(notNow(ErrorCode.STOPPING, "this host is stopping; use another"));
    }
    if (!isKeyLeaseValid(context.currentAt(), now)) {
      return Optional.of(
          notNow(
              ErrorCode.NOT_READY, "this host may not have the latest configuration; try again"));
    }
    if (route.isEmpty()) {
      return Optional.of(Failure.notRun(ErrorCode.UNKNOWN_ROUTE, "there is no such route"));
    }
    if (route.get().anonymous() || customer.isPresent()) {
      return Optional.empty();
    }
    return Optional.of(
        head.key().isPresent()
            ? Failure.notRun(ErrorCode.INVALID_KEY, "the key does not work; ask for a new one")
            : Failure.notRun(ErrorCode.MISSING_KEY, "send a key"));
  }

  private boolean takes(
      AcceptancePolicy acceptancePolicy, Optional<ForwardRoute> route, Instant now) {
    return switch (acceptancePolicy) {
      case AcceptancePolicy.All i -> true;
      case AcceptancePolicy.EndingBy i ->
          route.isEmpty() || !now.plus(times.expected(route.get())).isAfter(i.deadline());
      case AcceptancePolicy.None i -> false;
    };
  }

  private void admit(
      ForwardedCall call, Context context, Instant now, List<ForwardAction> actions) {
    if (call.customerIfAny().isEmpty()) {
      attempt(call, context, now, actions);
      return;
    }
    Admission admission = context.limits().admit(call.customer(), call.estimatedTokens(), now);
    if (admission instanceof Admission.ShareShort && awaited.offer(call, now)) {
      return;
    }
    Optional<Failure> refusal = LimitRefusal.of(admission, call.estimatedTokens());
    if (refusal.isPresent()) {
      refuse(call, refusal.get(), context, now, actions);
    } else {
      attempt(call, context, now, actions);
    }
  }

  private void retryAwaited(Context context, Instant now, List<ForwardAction> actions) {
    ShareWaitQueue.Result<ForwardedCall> result = awaited.retry(context.limits(), now);
    result
        .refused()
        .forEach(refused -> refuse(refused.call(), refused.failure(), context, now, actions));
    result.admitted().forEach(call -> attempt(call, context, now, actions));
  }

  private void attempt(
      ForwardedCall call, Context context, Instant now, List<ForwardAction> actions) {
    switch (choice.choose(call, context.forwarding(), now)) {
      case EndpointChoice.Decision.Send d -> send(call, d.target(), now, actions);
      case EndpointChoice.Decision.Busy d -> {
        String message = "every engine has as much to read as it can bear; try again";
        Failure busy = Failure.notRunRetryAfter(ErrorCode.BUSY, message, d.retryAfter());
        fail(call, busy, context, now, actions);
      }
      case EndpointChoice.Decision.Nowhere d -> {
        Failure none = notNow(ErrorCode.NO_ENDPOINT, "no endpoint can take the request; try again");
        fail(call, none, context, now, actions);
      }
    }
  }

  private void send(
      ForwardedCall call, EndpointChoice.Target target, Instant now, List<ForwardAction> actions) {
    Announcement endpoint = target.announcement();
    int attempt = call.begin(endpoint, now);
    if (attempt == 1) {
      resends.firstSent(call);
    }
    choice.sent(call, target, now);
    versions.sent(call, endpoint, now);
    actions.add(ForwardNotes.sent(call, target, now));
    Duration left = Duration.between(now, call.deadline());
    boolean another = resends.couldFollow(call, Verdict.mayHaveRun(), now);
    actions.add(
        new ForwardAction.Send(
            call.id(),
            attempt,
            endpoint.endpoint(),
            endpoint.address(),
            target.relay(),
            left,
            another ? shorter(Resends.patience(call), left) : left,
            LONGEST_SILENCE,
            call.customerIfAny().map(Customer::id),
            call.isAnswerPassed(),
            isResumable(call)));
  }

  private void answerCame(
      ForwardEvent.ResponseHeadReceived event,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    ForwardedCall call = current(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    switch (event.head()) {
      case ResponseHead.Final head -> {
        if (call.isAnswerPassed() && head.status() != OK) {
          abandon(call, failedWith(head.status()), context, now, actions);
        } else {
          pass(call, actions);
        }
      }
      case ResponseHead.Failed head -> {
        versions.failed(call);
        boolean another =
            call.route().retrySemantics().allowsRetry()
                && resends.isAllowed(call, Verdict.ran(), now);
        if (another || call.isAnswerPassed()) {
          abandon(call, failedWith(head.status()), context, now, actions);
        } else {
          pass(call, actions);
        }
      }
      case ResponseHead.NotRun head -> {
        if (head.otherEndpoint()) {
          call.endpoint().ifPresent(e -> endpoints.markLeaving(e.endpoint(), e.incarnation(), now));
        }
        Failure full =
            Failure.notRunRetryAfter(
                ErrorCode.BUSY,
                "the endpoint has no room; try again",
                head.retryAfter().orElse(RETRY_SOON));
        abandon(call, full, context, now, actions);
      }
      case ResponseHead.Unrecognized head ->
          abandon(
              call,
              Failure.mayHaveRun(
                  ErrorCode.INCOMPLETE_ANSWER, "the endpoint gave no answer to the request"),
              context,
              now,
              actions);
    }
  }

  private static Failure failedWith(int status) {
    return Failure.ran(ErrorCode.ENDPOINT_FAILED, "the endpoint failed: " + status);
  }

  private static void pass(ForwardedCall call, List<ForwardAction> actions) {
    call.passAnswer();
    actions.add(new ForwardAction.PassAnswer(call.id(), call.attempts()));
  }

  private void abandon(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    actions.add(new ForwardAction.CancelAttempt(call.id(), call.attempts()));
    broken(call, failure, context, now, actions);
  }

  private void attemptEnded(
      ForwardEvent.AttemptEnded event, Context context, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = current(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    switch (event.outcome()) {
      case ForwardAttemptOutcome.Completed end -> {
        call.judge(Verdict.ran());
        versions.answered(call, now);
        settleAttempt(call, false, now);
        times.observe(call.route().id(), Duration.between(call.head().arrivedAt(), now));
        finish(call, Optional.empty(), context, now, actions);
      }
      case ForwardAttemptOutcome.CallerDisconnected end -> {
        call.judge(Verdict.mayHaveRun());
        settleAttempt(call, false, now);
        finish(call, Optional.of(LEFT), context, now, actions);
      }
      case ForwardAttemptOutcome.Failed end -> broken(call, end.failure(), context, now, actions);
    }
  }

  /** Sends the request again after an attempt that gave no whole answer, or gives it up. */
  private void broken(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    actions.add(ForwardNotes.attemptFailed(call, failure));
    call.judge(failure.verdict());
    settleAttempt(call, failure.code() != ErrorCode.BUSY, now);
    boolean resumes = !call.isAnswerPassed() || (isResumable(call) && isCutShort(failure));
    if (resumes && resends.spend(call, failure.verdict(), now)) {
      attempt(call, context, now, actions);
    } else {
      fail(call, failure, context, now, actions);
    }
  }

  private void callerLeft(RequestId id, Context context, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = calls.get(id);
    if (call == null) {
      return;
    }
    if (call.isAttempting()) {
      call.judge(Verdict.mayHaveRun());
      settleAttempt(call, false, now);
      actions.add(new ForwardAction.CancelAttempt(id, call.attempts()));
    }
    finish(call, Optional.of(LEFT), context, now, actions);
  }

  /** Ends a request in whatever state it is. */
  private void giveUp(
      ForwardedCall call, Failure why, Context context, Instant now, List<ForwardAction> actions) {
    if (call.isAttempting()) {
      call.judge(Verdict.mayHaveRun());
      settleAttempt(call, false, now);
      actions.add(new ForwardAction.CancelAttempt(call.id(), call.attempts()));
    }
    fail(call, why, context, now, actions);
  }

  private void settleAttempt(ForwardedCall call, boolean blamed, Instant now) {
    if (call.isAttempting()) {
      Duration took = call.attemptTook(now);
      versions.ended(call, blamed, now);
      choice.read(call);
      call.endpoint().ifPresent(target -> choice.ended(target, took, blamed, now));
    }
  }

  /** Ends a request that gets no whole answer. */
  private void fail(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    Failure judged = failure.withVerdict(call.verdict());
    actions.add(
        call.isAnswerPassed()
            ? new ForwardAction.AbortResponse(call.id(), judged)
            : new ForwardAction.Refuse(call.id(), judged));
    finish(call, Optional.of(judged), context, now, actions);
  }

  /** Refuses a request for which nothing was charged or sent. */
  private void refuse(
      ForwardedCall call,
      Failure failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    calls.remove(call.id());
    actions.add(new ForwardAction.Refuse(call.id(), failure));
    ended(call, Optional.of(failure), context, now, actions);
  }

  private void finish(
      ForwardedCall call,
      Optional<Failure> failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    calls.remove(call.id());
    boolean waited = awaited.remove(call.id());
    if (call.verdict() instanceof Verdict.NotRun && !waited) {
      call.customerIfAny()
          .ifPresent(customer -> context.limits().settle(customer, call.estimatedTokens(), 0, now));
    }
    ended(call, failure, context, now, actions);
  }

  private static void ended(
      ForwardedCall call,
      Optional<Failure> failure,
      Context context,
      Instant now,
      List<ForwardAction> actions) {
    CallRecord record = call.record(now, failure);
    actions.add(new ForwardAction.Ended(call.id(), record));
    actions.add(ForwardNotes.ended(call, record, context, now));
  }

  private @Nullable ForwardedCall current(RequestId id, int attempt) {
    ForwardedCall call = calls.get(id);
    return call != null && call.isAttempting() && call.attempts() == attempt ? call : null;
  }

  /** Returns whether what came before the failure can be gone on with. */
  private static boolean isCutShort(Failure failure) {
    return failure.code() != ErrorCode.ANSWER_TOO_LONG;
  }

  private static boolean isResumable(ForwardedCall call) {
    return call.route().retrySemantics() instanceof RetrySemantics.ResumableStream;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static Failure notNow(ErrorCode code, String message) {
    return Failure.notRunRetryAfter(code, message, RETRY_SOON);
  }
}
