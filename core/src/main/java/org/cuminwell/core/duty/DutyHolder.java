package org.cuminwell.core.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cuminwell.core.model.HostId;

/**
 * Decides, on one control host, which duties it takes and which calls it makes as their holder.
 *
 * <p>Invariants: a call is made only under a valid lease, with the token that the log gave to this
 * host in the term of that lease, and only with what the log holds; one call at a time; after a
 * call without an answer, other content is sent with a higher token only, so that the earlier call
 * can't be carried out after it; a token that the platform refused is not used again. Not thread
 * safe: one thread owns it.
 */
public final class DutyHolder {

  private static final Duration ASK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MIN_BACKOFF = Duration.ofMillis(200);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  /** The time after which a call whose end was never reported counts as unanswered. */
  private static final Duration CALL_LOST = Duration.ofSeconds(5);

  /**
   * Describes the lease under which this host may act.
   *
   * @param term the term in which the host leads
   * @param until when the lease ends; counted from before the host asked for it
   */
  public record Lease(long term, Instant until) {}

  private record OpenCall(DutyCall call, Instant startedAt) {}

  private record Seen(DutyHolding holding, Instant holderSince) {}

  private final HostId self;
  private final DutySettings settings;
  private final UsageCollector collector;
  private final Map<Duty, Seen> seen = new EnumMap<>(Duty.class);
  private final Map<Duty, Long> refusedTokens = new EnumMap<>(Duty.class);
  private final Map<Duty, DutyCall> unanswered = new EnumMap<>(Duty.class);
  private Optional<OpenCall> openCall = Optional.empty();
  private OptionalLong acceptedWindow = OptionalLong.empty();
  private Optional<Instant> gathersSince = Optional.empty();
  private Instant nextAskAt = Instant.MIN;
  private Instant nextCallAt = Instant.MIN;
  private Duration backoff = MIN_BACKOFF;
  private long lastIncompleteWindow = Long.MIN_VALUE;
  private long calls;
  private List<DutyAction> actions = new ArrayList<>();

  /** Creates the state of the host. */
  public DutyHolder(HostId self, DutySettings settings) {
    this.self = self;
    this.settings = settings;
    this.collector = new UsageCollector(settings);
  }

  /** Records the counts of a gateway, if this host holds the duty that needs them. */
  public void onUsage(HostId gateway, UsageCounts counts, DutyTable table) {
    if (gathersSince.isPresent()) {
      collector.record(gateway, counts, table.lastRecorded());
    }
  }

  /** Records how a call ended. The end of a call that counts as lost already is ignored. */
  public List<DutyAction> onCallEnded(DutyCall call, DutyCall.Result result, Instant now) {
    if (openCall.filter(open -> open.call().equals(call)).isPresent()) {
      endCall(call, result, now);
    }
    return drain();
  }

  private void endCall(DutyCall call, DutyCall.Result result, Instant now) {
    openCall = Optional.empty();
    switch (result) {
      case DutyCall.Accepted _ -> onAccepted(call, now);
      case DutyCall.Superseded _ -> {
        refusedTokens.put(call.duty(), call.token());
        backOff(now);
      }
      case DutyCall.Refused _ -> backOff(now);
      case DutyCall.Unanswered _ -> {
        unanswered.put(call.duty(), call);
        backOff(now);
      }
      case DutyCall.NotSent _ -> {}
    }
    if (!(result instanceof DutyCall.Accepted)) {
      actions.add(new DutyAction.Log(new DutyLogEvent.CallFailed(call, result)));
    }
  }

  /**
   * Returns what is due.
   *
   * @param lease the lease under which this host may act; empty if it does not lead
   * @param table the replicated state as far as this host has applied it
   * @param gateways the gateways that are connected to this host
   */
  public List<DutyAction> tick(
      Optional<Lease> lease, DutyTable table, Collection<HostId> gateways, Instant now) {
    settings.duties().forEach(duty -> observe(duty, table, now));
    openCall
        .filter(open -> !now.isBefore(open.startedAt().plus(CALL_LOST)))
        .ifPresent(
            open -> endCall(open.call(), new DutyCall.Unanswered("its end was not reported"), now));
    if (lease.filter(l -> now.isBefore(l.until())).isEmpty()) {
      gathersSince = Optional.empty();
      collector.clear();
      return drain();
    }
    for (Duty duty : settings.duties()) {
      Optional<DutyHolding> own =
          table.holding(duty).filter(h -> isOwn(h, lease.get()) && !isRefused(duty, h));
      if (own.isEmpty()) {
        takeIfAllowed(duty, lease.get(), table, now);
      } else {
        switch (duty) {
          case USAGE_REPORT -> reportUsage(own.get(), lease.get(), table, gateways, now);
          case SCALE -> {}
        }
      }
    }
    return drain();
  }

  /** Returns who holds the duties. */
  public DutyStatus status(Optional<Lease> lease, DutyTable table) {
    Map<Duty, Long> tokens = new EnumMap<>(Duty.class);
    Set<Duty> heldHere = EnumSet.noneOf(Duty.class);
    for (Duty duty : settings.duties()) {
      table.holding(duty).ifPresent(holding -> tokens.put(duty, holding.token()));
      if (lease.isPresent() && table.holding(duty).filter(h -> isOwn(h, lease.get())).isPresent()) {
        heldHere.add(duty);
      }
    }
    return new DutyStatus(tokens, heldHere, table.unconfirmedCount(), table.droppedReports());
  }

  private boolean isOwn(DutyHolding holding, Lease lease) {
    return holding.holder().equals(self) && holding.term() == lease.term();
  }

  private boolean isRefused(Duty duty, DutyHolding holding) {
    return holding.token() <= refusedTokens.getOrDefault(duty, 0L);
  }

  /** Notes when this host saw the duty change hands, and logs a new holder or token. */
  private void observe(Duty duty, DutyTable table, Instant now) {
    Optional<DutyHolding> holding = table.holding(duty);
    Optional<Seen> before = Optional.ofNullable(seen.get(duty));
    if (holding.isEmpty() || before.map(Seen::holding).equals(holding)) {
      return;
    }
    Instant holderSince =
        before
            .filter(b -> b.holding().holder().equals(holding.get().holder()))
            .map(Seen::holderSince)
            .orElse(now);
    seen.put(duty, new Seen(holding.get(), holderSince));
    actions.add(new DutyAction.Log(new DutyLogEvent.Held(duty, holding.get())));
  }

  /**
   * Takes the duty, unless its present holder is another host that may have taken it less than the
   * lease ago: the host before that one might be this one.
   */
  private void takeIfAllowed(Duty duty, Lease lease, DutyTable table, Instant now) {
    Seen last = seen.get(duty);
    boolean allowed =
        last == null
            || last.holding().holder().equals(self)
            || !now.isBefore(last.holderSince().plus(settings.lease()).plus(settings.thawSlack()));
    if (allowed && !now.isBefore(nextCallAt)) {
      submitTake(duty, lease, table);
    }
  }

  private void submitTake(Duty duty, Lease lease, DutyTable table) {
    long basis = table.holding(duty).map(DutyHolding::token).orElse(0L);
    actions.add(new DutyAction.Submit(new DutyChange.Take(duty, self, lease.term(), basis)));
  }

  private void reportUsage(
      DutyHolding holding, Lease lease, DutyTable table, Collection<HostId> gateways, Instant now) {
    gather(table, now);
    collector
        .nextReport(table.lastRecorded(), gateways, gathersSince.orElse(now), now)
        .ifPresent(report -> recordUsage(report, holding));
    Optional<UsageWindow> next = table.firstUnconfirmed();
    if (next.isEmpty()) {
      return;
    }
    // The next report waits until the log confirms this one: the next holder would send this one
    // again, after the other.
    if (isAccepted(next.get())) {
      actions.add(new DutyAction.Submit(new DutyChange.ConfirmUsage(acceptedWindow.getAsLong())));
    } else if (openCall.isEmpty() && !now.isBefore(nextCallAt)) {
      call(Duty.USAGE_REPORT, new DutyCall.Usage(next.get()), holding, lease, table, now);
    }
  }

  private void gather(DutyTable table, Instant now) {
    if (gathersSince.isEmpty()) {
      gathersSince = Optional.of(now);
      nextAskAt = now;
    }
    if (!now.isBefore(nextAskAt)) {
      nextAskAt = now.plus(ASK_INTERVAL);
      actions.add(new DutyAction.AskForUsage(table.lastRecorded()));
    }
  }

  private void recordUsage(UsageCollector.Report report, DutyHolding holding) {
    actions.add(new DutyAction.Submit(new DutyChange.RecordUsage(holding.token(), report.usage())));
    long window = report.usage().window();
    if (report.missingGateways() > 0 && lastIncompleteWindow < window) {
      lastIncompleteWindow = window;
      actions.add(
          new DutyAction.Log(new DutyLogEvent.GatewaysMissing(window, report.missingGateways())));
    }
  }

  private boolean isAccepted(UsageWindow report) {
    return acceptedWindow.isPresent() && report.window() <= acceptedWindow.getAsLong();
  }

  /**
   * Makes the call, or first raises the token if an earlier call may be carried out after it. An
   * answer to a repetition proves nothing about the call that got none.
   */
  private void call(
      Duty duty,
      DutyCall.Content content,
      DutyHolding holding,
      Lease lease,
      DutyTable table,
      Instant now) {
    DutyCall earlier = unanswered.get(duty);
    if (earlier != null
        && earlier.token() >= holding.token()
        && !earlier.content().equals(content)) {
      submitTake(duty, lease, table);
      return;
    }
    DutyCall call = new DutyCall(++calls, duty, self, holding.token(), content);
    openCall = Optional.of(new OpenCall(call, now));
    nextCallAt = now.plusNanos((long) (1e9 / settings.callsPerSecond()));
    actions.add(new DutyAction.Call(call, lease.until()));
  }

  private void onAccepted(DutyCall call, Instant now) {
    backoff = MIN_BACKOFF;
    switch (call.content()) {
      case DutyCall.Usage usage -> {
        long window = usage.report().window();
        acceptedWindow = OptionalLong.of(window);
        Duration afterEnd = Duration.between(settings.endOf(window), now);
        boolean late = afterEnd.compareTo(settings.usageLate()) > 0;
        actions.add(
            new DutyAction.Log(
                new DutyLogEvent.UsageReported(window, call.token(), afterEnd, late)));
      }
    }
  }

  private void backOff(Instant now) {
    Instant earliest = now.plus(backoff);
    nextCallAt = earliest.isAfter(nextCallAt) ? earliest : nextCallAt;
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
  }

  private List<DutyAction> drain() {
    List<DutyAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }
}
