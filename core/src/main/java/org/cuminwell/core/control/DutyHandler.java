package org.cuminwell.core.control;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.duty.DutyAction;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.duty.DutyChange;
import org.cuminwell.core.duty.DutyHolder;
import org.cuminwell.core.duty.DutySettings;
import org.cuminwell.core.duty.DutyStatus;
import org.cuminwell.core.duty.DutyTable;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Lets this control host hold duties while it leads. Without settings it does nothing.
 *
 * <p>Not thread safe: the thread of its {@link Control} owns it.
 */
final class DutyHandler {

  private final Optional<DutyHolder> holder;
  private final ReplicatedStateMachine machine;
  private final InternalSubmissions submissions;
  private final Map<RequestId, DutyChange> pending = new HashMap<>();
  private DutyStatus status = DutyStatus.NONE;

  DutyHandler(
      HostId self,
      Optional<DutySettings> settings,
      ReplicatedStateMachine machine,
      InternalSubmissions submissions) {
    this.holder = settings.map(s -> new DutyHolder(self, s));
    this.machine = machine;
    this.submissions = submissions;
  }

  /** Takes duties, submits changes and makes the calls that are due. */
  void onTick(Collection<HostId> gateways, Instant now, List<ControlAction> actions) {
    if (holder.isEmpty()) {
      return;
    }
    DutyTable table = machine.state().duties();
    Optional<DutyHolder.Lease> lease = lease(now);
    perform(holder.get().tick(lease, table, gateways, now), gateways, now, actions);
    status = holder.get().status(lease, table);
  }

  /** Returns who holds the duties, as of the last tick. */
  DutyStatus status() {
    return status;
  }

  void onMessage(HostId peer, UsageMessage message) {
    switch (message) {
      case UsageMessage.Request _ -> {}
      case UsageMessage.Counts m ->
          holder.ifPresent(h -> h.onUsage(peer, m.counts(), machine.state().duties()));
    }
  }

  void onCallEnded(
      DutyCall call, DutyCall.Result result, Instant now, List<ControlAction> actions) {
    holder.ifPresent(h -> perform(h.onCallEnded(call, result, now), List.of(), now, actions));
  }

  /** Removes an answered submission and returns whether it was made by this handler. */
  boolean removeAnswered(RequestId id) {
    return pending.remove(id) != null;
  }

  private Optional<DutyHolder.Lease> lease(Instant now) {
    OptionalLong term = machine.fencingNumber(now);
    return machine
        .leaseUntil(now)
        .filter(_ -> term.isPresent())
        .map(until -> new DutyHolder.Lease(term.getAsLong(), until));
  }

  private void perform(
      List<DutyAction> decided,
      Collection<HostId> gateways,
      Instant now,
      List<ControlAction> actions) {
    for (DutyAction action : decided) {
      switch (action) {
        case DutyAction.Submit a -> submit(a.change(), now);
        case DutyAction.Call a ->
            actions.add(new ControlAction.CallPlatform(a.call(), a.startBefore()));
        case DutyAction.AskForUsage a -> {
          PeerMessage request =
              new PeerMessage.Usage(new UsageMessage.Request(a.recordedThrough()));
          gateways.forEach(gateway -> actions.add(new SendToPeer(gateway, request)));
        }
        case DutyAction.Log a -> actions.add(new ControlAction.LogDuty(a.event()));
      }
    }
  }

  /** Submits the change unless one of its kind is pending. */
  private void submit(DutyChange change, Instant now) {
    if (pending.values().stream().noneMatch(other -> isOfKind(other, change))) {
      RequestId id = submissions.nextId(now);
      pending.put(id, change);
      submissions.submit(id, new Command.ChangeDuty(change), now);
    }
  }

  private static boolean isOfKind(DutyChange one, DutyChange other) {
    return switch (one) {
      case DutyChange.Take c ->
          other instanceof DutyChange.Take o && c.duty() == o.duty() && c.term() == o.term();
      case DutyChange.RecordUsage _ -> other instanceof DutyChange.RecordUsage;
      case DutyChange.ConfirmUsage _ -> other instanceof DutyChange.ConfirmUsage;
    };
  }
}
