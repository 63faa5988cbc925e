package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.Replica;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.consensus.ReplicaEvent;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.PendingCommand.Stage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Brings submitted commands into the agreed order, from whichever control host they come, and keeps
 * the replicated state.
 *
 * <p>Invariants: the state changes only by committed entries; each submitted command is answered
 * once; a result is given only when the command is committed, and "not run" only when it can't be
 * committed any more. Not thread safe: one thread owns it.
 */
public final class ReplicatedStateMachine {

  /** How many entries the log may hold before a snapshot stands for them. */
  public static final int COMPACT_ENTRIES = 1_024;

  private static final int MAX_PENDING = 1_024;

  private final Replica<Command, StateSnapshot> replica;
  private final HostId self;
  private final int compactEntries;
  private final ReplicatedState state = new ReplicatedState();
  private final CommittedIndex committed = new CommittedIndex();
  private final Map<RequestId, PendingCommand> pending = new LinkedHashMap<>();
  private final Map<RequestId, HostId> origins = new LinkedHashMap<>();
  private List<StateMachineAction> actions = new ArrayList<>();

  /**
   * Makes the state machine of one host from what its disk holds.
   *
   * @param voters every control host, this one among them
   * @param compactEntries how many entries the log may hold, as {@link #COMPACT_ENTRIES}
   */
  public ReplicatedStateMachine(
      HostId self,
      Set<HostId> voters,
      DurableState<Command, StateSnapshot> durable,
      SplittableRandom random,
      int compactEntries,
      Instant now) {
    this.self = self;
    this.compactEntries = compactEntries;
    this.replica = new Replica<>(self, voters, durable, random, now);
    durable.snapshot().map(Snapshot::state).ifPresent(state::restore);
  }

  /** Takes a command of this host's own clients; its answer comes as an action, now or later. */
  public List<StateMachineAction> submit(RequestId id, Command command, Instant now) {
    Optional<Applied> known = known(command);
    if (known.isPresent()) {
      answer(id, new CommandOutcome.Done(known.get()));
    } else if (pending.size() >= MAX_PENDING) {
      answer(id, PendingCommand.notTaken("this control host has too many open submissions"));
    } else {
      pending.put(id, new PendingCommand(command, now.plus(command.patience())));
      pass(now);
    }
    return drain();
  }

  /** Takes a message of another control host. */
  public List<StateMachineAction> hear(HostId from, StateMachineMessage message, Instant now) {
    switch (message) {
      case StateMachineMessage.Replication m ->
          run(new ReplicaEvent.Heard<>(from, m.message()), now);
      case StateMachineMessage.Forward m -> {
        origins.put(m.id(), from);
        run(new ReplicaEvent.Propose<>(m.id(), m.command()), now);
      }
      case StateMachineMessage.ProposalAppended m -> placed(m.id(), m.index(), m.term());
      case StateMachineMessage.ProposalRejected m -> rejected(m.id());
      case StateMachineMessage.ReadIndexRequest m -> committed.asked(from, m.askedAt(), now);
      case StateMachineMessage.ReadIndexReply m -> committed.answered(m.askedAt(), m.index());
    }
    pass(now);
    establish(now);
    return drain();
  }

  /** Learns that all writes up to the sequence number are synced. */
  public List<StateMachineAction> persisted(long sequence, Instant now) {
    run(new ReplicaEvent.Persisted<>(sequence), now);
    establish(now);
    return drain();
  }

  /** Learns that some time has gone by. */
  public List<StateMachineAction> tick(Instant now) {
    run(new ReplicaEvent.Ticked<>(), now);
    giveUp(now);
    pass(now);
    establish(now);
    return drain();
  }

  /** Returns the moment before which everything committed anywhere is in the state. */
  public Instant currentAsOf() {
    return committed.currentAt();
  }

  /** Has the state brought up to the present, as {@link #currentAsOf} will tell. */
  public List<StateMachineAction> bringUpToDate(Instant now) {
    Optional<HostId> leader = replica.leader(now).filter(host -> !host.equals(self));
    if (leader.isPresent() && committed.asks(now)) {
      tell(leader.get(), new StateMachineMessage.ReadIndexRequest(now));
    }
    establish(now);
    return drain();
  }

  /** Returns the replicated state; only this class may change it. */
  public ReplicatedState state() {
    return state;
  }

  /**
   * Returns the number that orders to endpoints must carry, if this host may give any: the term of
   * its lead. A later leader has a higher one.
   */
  public OptionalLong fencingNumber(Instant now) {
    return replica.leads(now) ? OptionalLong.of(replica.term()) : OptionalLong.empty();
  }

  /** Returns how this host stands in the agreement. */
  public AgreementStatus status(Instant now) {
    return new AgreementStatus(
        replica.term(),
        replica.leader(now),
        replica.leads(now),
        replica.standing(),
        replica.appliedIndex());
  }

  /** Returns the last entry of the log that the state includes. */
  public long appliedIndex() {
    return replica.appliedIndex();
  }

  private Optional<Applied> known(Command command) {
    return switch (command) {
      case Command.AcceptTicket c ->
          state.ledger().known(c.ticket()).map(Applied.TicketAnswered::new);
      case Command.ReplaceConfiguration c ->
          c.document().replaces(state.document())
              ? Optional.empty()
              : Optional.of(new Applied.ConfigurationReplaced(state.document().version()));
      case Command.BeginRollout c ->
          state.hasBegun(c.order()) ? Optional.of(new Applied.RolloutBegun()) : Optional.empty();
      case Command.ChangeClaim _, Command.AdvanceRollout _, Command.Evacuate _ -> Optional.empty();
    };
  }

  private void establish(Instant now) {
    Optional<Instant> confirmedAt = replica.confirmedAt(now);
    committed.advance(confirmedAt, replica.appliedIndex(), replica.commitIndex());
    actions.addAll(committed.replies(confirmedAt, replica.commitIndex(), now));
  }

  /** Passes waiting commands to the leader, if there is one. */
  private void pass(Instant now) {
    Optional<HostId> leader = replica.leader(now);
    if (leader.isEmpty()) {
      return;
    }
    for (Map.Entry<RequestId, PendingCommand> entry : List.copyOf(pending.entrySet())) {
      PendingCommand command = entry.getValue();
      if (command.isReadyFor(replica.term())) {
        pass(leader.get(), entry.getKey(), command, now);
      }
    }
  }

  private void pass(HostId leader, RequestId id, PendingCommand command, Instant now) {
    if (leader.equals(self)) {
      run(new ReplicaEvent.Propose<>(id, command.command()), now);
    } else {
      command.forwarded(replica.term());
      tell(leader, new StateMachineMessage.Forward(id, command.command()));
    }
  }

  private void run(ReplicaEvent<Command, StateSnapshot> event, Instant now) {
    replica.handle(event, now).forEach(this::perform);
    if (replica.logSize() > compactEntries && replica.appliedIndex() == replica.commitIndex()) {
      replica.handle(new ReplicaEvent.Compact<>(state.snapshot()), now).forEach(this::perform);
    }
  }

  private void perform(ReplicaAction<Command, StateSnapshot> action) {
    switch (action) {
      case ReplicaAction.Send<Command, StateSnapshot> a ->
          tell(a.to(), new StateMachineMessage.Replication(a.message()));
      case ReplicaAction.Write<Command, StateSnapshot> a ->
          actions.add(new StateMachineAction.Write(a));
      case ReplicaAction.Apply<Command, StateSnapshot> a -> apply(a.entry());
      case ReplicaAction.Restore<Command, StateSnapshot> a -> restore(a.snapshot());
      case ReplicaAction.Placed<Command, StateSnapshot> a -> {
        HostId origin = origins.remove(a.id());
        if (origin == null) {
          placed(a.id(), a.index(), a.term());
        } else {
          tell(origin, new StateMachineMessage.ProposalAppended(a.id(), a.index(), a.term()));
        }
      }
      case ReplicaAction.NotPlaced<Command, StateSnapshot> a -> {
        HostId origin = origins.remove(a.id());
        if (origin == null) {
          rejected(a.id());
        } else {
          tell(origin, new StateMachineMessage.ProposalRejected(a.id()));
        }
      }
    }
  }

  private void apply(LogEntry<Command> entry) {
    switch (entry.content()) {
      case EntryContent.Proposed<Command> c -> {
        Configuration before = state.configuration();
        Applied result = state.apply(c.command(), entry.createdAt());
        if (state.configuration().revision().isAfter(before.revision())) {
          changed(before);
        }
        settle(entry, new CommandOutcome.Done(result));
      }
      case EntryContent.NoOp<Command> c -> settle(entry, PendingCommand.unknown());
      case EntryContent.Admit<Command> c -> settle(entry, PendingCommand.unknown());
    }
  }

  private void changed(Configuration before) {
    ConfigurationChange change = before.changeTo(state.configuration());
    actions.add(new StateMachineAction.StateChanged(state.configuration(), Optional.of(change)));
  }

  /** Answers whoever waits for the place of the entry. */
  private void settle(LogEntry<Command> entry, CommandOutcome outcome) {
    for (Map.Entry<RequestId, PendingCommand> next : List.copyOf(pending.entrySet())) {
      if (next.getValue().stage() instanceof Stage.Placed place && place.index() == entry.index()) {
        settle(next.getKey(), next.getValue(), place.term() == entry.term(), outcome);
      }
    }
  }

  private void settle(RequestId id, PendingCommand command, boolean same, CommandOutcome outcome) {
    if (same || !command.displaced()) {
      pending.remove(id);
      answer(id, same ? outcome : PendingCommand.unknown());
    }
  }

  private void restore(Snapshot<StateSnapshot> snapshot) {
    state.restore(snapshot.state());
    actions.add(new StateMachineAction.StateChanged(state.configuration(), Optional.empty()));
    Iterator<Map.Entry<RequestId, PendingCommand>> all = pending.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestId, PendingCommand> next = all.next();
      if (next.getValue().stage() instanceof Stage.Placed place
          && place.index() <= snapshot.index()) {
        all.remove();
        answer(next.getKey(), outcomeFromState(next.getValue().command()));
      }
    }
  }

  private void placed(RequestId id, long index, long term) {
    PendingCommand command = pending.get(id);
    if (command == null) {
      return;
    }
    command.placed(index, term);
    if (index <= replica.appliedIndex()) {
      pending.remove(id);
      answer(id, outcomeFromState(command.command()));
    }
  }

  private void rejected(RequestId id) {
    PendingCommand command = pending.get(id);
    if (command != null && !(command.stage() instanceof Stage.Placed)) {
      command.rejected();
    }
  }

  private CommandOutcome outcomeFromState(Command command) {
    return known(command)
        .<CommandOutcome>map(CommandOutcome.Done::new)
        .orElseGet(PendingCommand::unknown);
  }

  private void giveUp(Instant now) {
    Iterator<Map.Entry<RequestId, PendingCommand>> all = pending.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestId, PendingCommand> next = all.next();
      if (next.getValue().isDue(now)) {
        all.remove();
        answer(next.getKey(), next.getValue().late());
      }
    }
  }

  private void tell(HostId to, StateMachineMessage message) {
    actions.add(new StateMachineAction.Send(to, message));
  }

  private void answer(RequestId id, CommandOutcome outcome) {
    actions.add(new StateMachineAction.Answer(id, outcome));
  }

  private List<StateMachineAction> drain() {
    List<StateMachineAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }
}
