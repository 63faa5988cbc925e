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
import org.cuminwell.core.limit.AwaitedShares;
import org.cuminwell.core.limit.LimitRefusal;
import org.cuminwell.core.limit.ShareHolder;
import org.cuminwell.core.membership.Announcement;
import org.cuminwell.core.membership.EndpointTable;
import org.cuminwell.core.model.CallRecord;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Repeat;
import org.cuminwell.core.model.RequestId;
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
  private final AwaitedShares<ForwardedCall> awaited = new AwaitedShares<>();
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
  public record Known(
      ConfigurationIndex configuration, Instant currentAt, ShareHolder limits, Intake intake) {

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
  public List<ForwardAction> handle(ForwardEvent event, Known known, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    choice.configure(known.forwarding(), now);
    versions.configure(known.forwarding(), known.currentAt(), now);
    switch (event) {
      case ForwardEvent.Opened e -> open(e.head(), known, now, actions);
      case ForwardEvent.AnswerCame e -> answerCame(e, known, now, actions);
      case ForwardEvent.BodyBegan e -> {
        ForwardedCall call = calls.get(e.id());
        if (call != null) {
          call.bodyBegan(now);
          choice.began(call, now);
          versions.began(call, now);
        }
      }
      case ForwardEvent.EventsCame e -> {
        ForwardedCall call = current(e.id(), e.attempt());
        if (call != null) {
          choice.eventsCame(call, e.pause(), now);
          versions.eventsCame(call, e.pause(), now);
        }
      }
      case ForwardEvent.AttemptEnded e -> attemptEnded(e, known, now, actions);
      case ForwardEvent.CallerLeft e -> callerLeft(e.id(), known, now, actions);
    }
    return actions;
  }

  /** Returns what is due by now. */
  public List<ForwardAction> tick(Known known, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    choice.configure(known.forwarding(), now);
    versions.configure(known.forwarding(), known.currentAt(), now);
    choice.tick(now);
    times.keepOnly(known.forwarding().routes().keySet());
    versions.tick(now);
    retryAwaited(known, now, actions);
    List.copyOf(calls.values()).stream()
        .filter(call -> !now.isBefore(call.deadline()))
        .forEach(call -> giveUp(call, LATE, known, now, actions));
    return actions;
  }

  /** Tries again to start the requests that wait for a share of a limit. */
  public List<ForwardAction> sharesChanged(Known known, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    retryAwaited(known, now, actions);
    return actions;
  }

  /** Ends every request, since this host ends. */
  public List<ForwardAction> cutAll(Known known, Instant now) {
    List<ForwardAction> actions = new ArrayList<>();
    Failure stopping = notNow(ErrorCode.STOPPING, "this host has stopped; use another");
    List.copyOf(calls.values()).forEach(call -> giveUp(call, stopping, known, now, actions));
    return actions;
  }

  /** Returns what is open. */
  public List<OpenRequest> open(Instant now) {
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
  public int openRequests() {
    return calls.size();
  }

  /** Returns what to report to control about versions, if that is due. */
  public Optional<RolloutMessage.Report> report(HostId self, Instant now) {
    return versions.report(self, entry -> choice.isCold(entry, now), now);
  }

  /** Returns whether no request is open. */
  public boolean isIdle() {
    return calls.isEmpty();
  }

  /** Returns whether keys may be taken as the configuration in force here has them. */
  public boolean trustsKeys(Instant currentAt, Instant now) {
    return !currentAt.equals(Instant.MIN) && now.isBefore(currentAt.plus(bounds.keyLease()));
  }

  private void open(ForwardHead head, Known known, Instant now, List<ForwardAction> actions) {
    Optional<ForwardRoute> route = known.configuration().forwardRoute(head.host(), head.path());
    Optional<Customer> customer = head.key().flatMap(known.configuration()::customerByKey);
    Optional<Failure> refusal = refusal(head, route, customer, known, now);
    if (refusal.isPresent()) {
      actions.add(new ForwardAction.Refuse(head.id(), refusal.get()));
      actions.add(ForwardNotes.refused(head, route, customer, refusal, known, now));
      return;
    }
    ForwardedCall call =
        new ForwardedCall(
            head, route.orElseThrow(), customer.filter(_ -> !route.orElseThrow().anonymous()));
    calls.put(call.id(), call);
    admit(call, known, now, actions);
  }

  private Optional<Failure> refusal(
      ForwardHead head,
      Optional<ForwardRoute> route,
      Optional<Customer> customer,
      Known known,
      Instant now) {
    if (!takes(known.intake(), route, now)) {
      return Optional.of(notNow(ErrorCode.STOPPING, "this host is stopping; use another"));
    }
    if (!trustsKeys(known.currentAt(), now)) {
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

  private boolean takes(Intake intake, Optional<ForwardRoute> route, Instant now) {
    return switch (intake) {
      case Intake.All i -> true;
      case Intake.EndingBy i ->
          route.isEmpty() || !now.plus(times.expected(route.get())).isAfter(i.end());
      case Intake.None i -> false;
    };
  }

  private void admit(ForwardedCall call, Known known, Instant now, List<ForwardAction> actions) {
    if (call.customerIfAny().isEmpty()) {
      attempt(call, known, now, actions);
      return;
    }
    Admission admission = known.limits().admit(call.customer(), call.estimate(), now);
    if (admission instanceof Admission.ShareShort && awaited.offer(call, now)) {
      return;
    }
    Optional<Failure> refusal = LimitRefusal.of(admission, call.estimate());
    if (refusal.isPresent()) {
      refuse(call, refusal.get(), known, now, actions);
    } else {
      attempt(call, known, now, actions);
    }
  }

  private void retryAwaited(Known known, Instant now, List<ForwardAction> actions) {
    AwaitedShares.Result<ForwardedCall> result = awaited.retry(known.limits(), now);
    result
        .refused()
        .forEach(refused -> refuse(refused.call(), refused.failure(), known, now, actions));
    result.admitted().forEach(call -> attempt(call, known, now, actions));
  }

  private void attempt(ForwardedCall call, Known known, Instant now, List<ForwardAction> actions) {
    switch (choice.choose(call, known.forwarding(), now)) {
      case EndpointChoice.Decision.Send d -> send(call, d.target(), now, actions);
      case EndpointChoice.Decision.Busy d -> {
        String message = "every engine has as much to read as it can bear; try again";
        Failure busy = Failure.notRunRetryAfter(ErrorCode.BUSY, message, d.retryAfter());
        fail(call, busy, known, now, actions);
      }
      case EndpointChoice.Decision.Nowhere d -> {
        Failure none = notNow(ErrorCode.NO_ENDPOINT, "no endpoint can take the request; try again");
        fail(call, none, known, now, actions);
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
      ForwardEvent.AnswerCame event, Known known, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = current(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    switch (event.head()) {
      case AnswerHead.Final head -> {
        if (call.isAnswerPassed() && head.status() != OK) {
          abandon(call, failedWith(head.status()), known, now, actions);
        } else {
          pass(call, actions);
        }
      }
      case AnswerHead.Failed head -> {
        versions.failed(call);
        boolean another =
            call.route().repeat().allowsAnother() && resends.isAllowed(call, Verdict.ran(), now);
        if (another || call.isAnswerPassed()) {
          abandon(call, failedWith(head.status()), known, now, actions);
        } else {
          pass(call, actions);
        }
      }
      case AnswerHead.NotRun head -> {
        if (head.otherEndpoint()) {
          call.endpoint().ifPresent(e -> endpoints.leave(e.endpoint(), e.incarnation(), now));
        }
        Failure full =
            Failure.notRunRetryAfter(
                ErrorCode.BUSY,
                "the endpoint has no room; try again",
                head.retryAfter().orElse(RETRY_SOON));
        abandon(call, full, known, now, actions);
      }
      case AnswerHead.Foreign head ->
          abandon(
              call,
              Failure.mayHaveRun(
                  ErrorCode.INCOMPLETE_ANSWER, "the endpoint gave no answer to the request"),
              known,
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
      ForwardedCall call, Failure failure, Known known, Instant now, List<ForwardAction> actions) {
    actions.add(new ForwardAction.Abandon(call.id(), call.attempts()));
    broken(call, failure, known, now, actions);
  }

  private void attemptEnded(
      ForwardEvent.AttemptEnded event, Known known, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = current(event.id(), event.attempt());
    if (call == null) {
      return;
    }
    switch (event.end()) {
      case ForwardEnd.Completed end -> {
        call.judge(Verdict.ran());
        versions.answered(call, now);
        settleAttempt(call, false, now);
        times.observe(call.route().id(), Duration.between(call.head().arrivedAt(), now));
        finish(call, Optional.empty(), known, now, actions);
      }
      case ForwardEnd.CallerLeft end -> {
        call.judge(Verdict.mayHaveRun());
        settleAttempt(call, false, now);
        finish(call, Optional.of(LEFT), known, now, actions);
      }
      case ForwardEnd.Broken end -> broken(call, end.failure(), known, now, actions);
    }
  }

  /** Sends the request again after an attempt that gave no whole answer, or gives it up. */
  private void broken(
      ForwardedCall call, Failure failure, Known known, Instant now, List<ForwardAction> actions) {
    actions.add(ForwardNotes.attemptFailed(call, failure));
    call.judge(failure.verdict());
    settleAttempt(call, failure.code() != ErrorCode.BUSY, now);
    boolean resumes = !call.isAnswerPassed() || (isResumable(call) && isCutShort(failure));
    if (resumes && resends.spend(call, failure.verdict(), now)) {
      attempt(call, known, now, actions);
    } else {
      fail(call, failure, known, now, actions);
    }
  }

  private void callerLeft(RequestId id, Known known, Instant now, List<ForwardAction> actions) {
    ForwardedCall call = calls.get(id);
    if (call == null) {
      return;
    }
    if (call.isAttempting()) {
      call.judge(Verdict.mayHaveRun());
      settleAttempt(call, false, now);
      actions.add(new ForwardAction.Abandon(id, call.attempts()));
    }
    finish(call, Optional.of(LEFT), known, now, actions);
  }

  /** Ends a request in whatever state it is. */
  private void giveUp(
      ForwardedCall call, Failure why, Known known, Instant now, List<ForwardAction> actions) {
    if (call.isAttempting()) {
      call.judge(Verdict.mayHaveRun());
      settleAttempt(call, false, now);
      actions.add(new ForwardAction.Abandon(call.id(), call.attempts()));
    }
    fail(call, why, known, now, actions);
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
      ForwardedCall call, Failure failure, Known known, Instant now, List<ForwardAction> actions) {
    Failure judged = failure.withVerdict(call.verdict());
    actions.add(
        call.isAnswerPassed()
            ? new ForwardAction.Cut(call.id(), judged)
            : new ForwardAction.Refuse(call.id(), judged));
    finish(call, Optional.of(judged), known, now, actions);
  }

  /** Refuses a request for which nothing was charged or sent. */
  private void refuse(
      ForwardedCall call, Failure failure, Known known, Instant now, List<ForwardAction> actions) {
    calls.remove(call.id());
    actions.add(new ForwardAction.Refuse(call.id(), failure));
    ended(call, Optional.of(failure), known, now, actions);
  }

  private void finish(
      ForwardedCall call,
      Optional<Failure> failure,
      Known known,
      Instant now,
      List<ForwardAction> actions) {
    calls.remove(call.id());
    boolean waited = awaited.remove(call.id());
    if (call.verdict() instanceof Verdict.NotRun && !waited) {
      call.customerIfAny()
          .ifPresent(customer -> known.limits().settle(customer, call.estimate(), 0, now));
    }
    ended(call, failure, known, now, actions);
  }

  private static void ended(
      ForwardedCall call,
      Optional<Failure> failure,
      Known known,
      Instant now,
      List<ForwardAction> actions) {
    CallRecord record = call.record(now, failure);
    actions.add(new ForwardAction.Ended(call.id(), record));
    actions.add(ForwardNotes.ended(call, record, known, now));
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
    return call.route().repeat() instanceof Repeat.ResumableStream;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static Failure notNow(ErrorCode code, String message) {
    return Failure.notRunRetryAfter(code, message, RETRY_SOON);
  }
}
