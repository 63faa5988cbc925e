package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.EntryContent;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.LogLimits;
import org.cuminwell.core.consensus.Membership;
import org.cuminwell.core.consensus.Replica;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.consensus.ReplicaEvent;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.PendingCommand.Stage;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Replicates commands across the control hosts and applies them to the replicated state. Commands
 * may be submitted at any control host; followers forward them to the leader.
 *
 * <p>Invariants: the state changes only by committed entries; each submitted command is answered
 * once; a result is returned only after the command is committed, and a verdict of "not run" only
 * when the command can no longer be committed; every command is proposed in the form in which it is
 * read back from the log. Not thread safe: one thread owns it.
 */
public final class ReplicatedStateMachine {

  private static final int MAX_PENDING = 1_024;

  private final Replica<Command, StateSnapshot> replica;
  private final HostId self;
  private final LogLimits limits;
  private final CommandEncoding encoding;
  private final ReplicatedState state = new ReplicatedState();
  private final ReadIndexTracker readIndex = new ReadIndexTracker();
  private final Map<RequestId, PendingCommand> pending = new LinkedHashMap<>();
  private final Map<RequestId, HostId> forwarders = new LinkedHashMap<>();
  private List<StateMachineAction> actions = new ArrayList<>();

  /**
   * Creates the state machine of one host from its durable state.
   *
   * @param address where other control hosts reach this one
   * @param limits the size of the log above which a snapshot is made
   * @param encoding how the log holds commands
   */
  public ReplicatedStateMachine(
      HostId self,
      HostAddress address,
      DurableState<Command, StateSnapshot> durable,
      SplittableRandom random,
      LogLimits limits,
      CommandEncoding encoding,
      Instant now) {
    this.self = self;
    this.limits = limits;
    this.encoding = encoding;
    this.replica = new Replica<>(self, address, durable, Command::bytes, random, now);
    durable.snapshot().map(Snapshot::state).ifPresent(state::restore);
  }

  /**
   * Submits a command of one of this host's own clients. The answer is returned as an action, by
   * this call or a later one. A command that the log can't hold is answered as not run.
   */
  public List<StateMachineAction> submit(RequestId id, Command command, Instant now) {
    Optional<CommandResult> existingResult = findResult(command);
    if (existingResult.isPresent()) {
      answer(id, new CommandOutcome.Committed(existingResult.get()));
    } else {
      encode(id, command).ifPresent(c -> addPending(id, PendingCommand.of(c, now), now));
    }
    return drain();
  }

  /**
   * Submits an order of an operator, as {@link #submit} does. The order is not run if its sender
   * may have given it up by now, or may before the order can be committed; it takes no effect if
   * another order on its subject is carried out before it.
   */
  public List<StateMachineAction> submitOrder(
      RequestId id, OperatorOrder order, RequestAge age, Instant now) {
    // Always decided by the log: this host's state may be older than the order.
    OptionalLong basis = OptionalLong.of(state.orderCount(order.subject()));
    encode(id, new Command.CarryOut(order, basis))
        .ifPresent(c -> addPending(id, PendingCommand.ofOrder(c, age), now));
    return drain();
  }

  /** Returns the command as the log holds it, or answers it as not run if the log can't. */
  private Optional<Command> encode(RequestId id, Command command) {
    try {
      return Optional.of(encoding.roundTrip(command));
    } catch (IllegalArgumentException e) {
      answer(id, PendingCommand.invalidOutcome(e));
      return Optional.empty();
    }
  }

  private void addPending(RequestId id, PendingCommand command, Instant now) {
    if (command.isExpired(now)) {
      answer(id, command.timeoutOutcome());
    } else if (hasRoomFor(command)) {
      pending.put(id, command);
      submitWaiting(now);
    } else {
      answer(id, PendingCommand.notRunOutcome("this control host has too many pending commands"));
    }
  }

  /** Returns whether the command may wait beside the pending ones; one may wait alone. */
  private boolean hasRoomFor(PendingCommand command) {
    long pendingBytes = pending.values().stream().mapToLong(PendingCommand::bytes).sum();
    return pending.isEmpty()
        || (pending.size() < MAX_PENDING && pendingBytes + command.bytes() <= limits.maxBytes());
  }

  /** Handles a message of another control host. */
  public List<StateMachineAction> onMessage(HostId from, StateMachineMessage message, Instant now) {
    switch (message) {
      case StateMachineMessage.Replication m ->
          handle(new ReplicaEvent.MessageReceived<>(from, m.message()), now);
      case StateMachineMessage.Forward m -> {
        forwarders.put(m.id(), from);
        handle(new ReplicaEvent.Propose<>(m.id(), m.command()), now);
      }
      case StateMachineMessage.ProposalAppended m -> onAppended(m.id(), m.index(), m.term());
      case StateMachineMessage.ProposalRejected m -> onRejected(m.id());
      case StateMachineMessage.ReadIndexRequest m -> readIndex.onRequest(from, m.askedAt(), now);
      case StateMachineMessage.ReadIndexReply m -> readIndex.onReply(m.askedAt(), m.index());
    }
    submitWaiting(now);
    updateReadIndex(now);
    return drain();
  }

  /** Records that a control host is connected, which this one can ask to join. */
  public List<StateMachineAction> onControlHostConnected(HostId host, Instant now) {
    handle(new ReplicaEvent.ContactFound<>(host), now);
    return drain();
  }

  /** Records that all writes up to the sequence number are synced to disk. */
  public List<StateMachineAction> onPersisted(long sequence, Instant now) {
    handle(new ReplicaEvent.Persisted<>(sequence), now);
    updateReadIndex(now);
    return drain();
  }

  /** Handles a timer tick: sends heartbeats, starts elections and expires pending commands. */
  public List<StateMachineAction> onTick(Instant now) {
    handle(new ReplicaEvent.Ticked<>(), now);
    expirePending(now);
    submitWaiting(now);
    updateReadIndex(now);
    return drain();
  }

  /**
   * Returns a time such that the state includes everything that was committed on any host before
   * it.
   */
  public Instant currentAsOf() {
    return readIndex.currentAsOf();
  }

  /**
   * Asks the leader for its read index if this host is a follower and a request is due. {@link
   * #currentAsOf} advances once the reply arrives and is applied.
   */
  public List<StateMachineAction> requestReadIndexIfDue(Instant now) {
    Optional<HostId> leader = replica.leader(now).filter(host -> !host.equals(self));
    if (leader.isPresent() && readIndex.startRequestIfDue(now)) {
      send(leader.get(), new StateMachineMessage.ReadIndexRequest(now));
    }
    updateReadIndex(now);
    return drain();
  }

  /** Returns the replicated state, which only this class may change. */
  public ReplicatedState state() {
    return state;
  }

  /**
   * Returns the fencing number that orders to endpoints must carry: the term of this host's
   * leadership. Empty unless this host is the leader and its lease is valid. Later leaders have
   * higher terms.
   */
  public OptionalLong fencingNumber(Instant now) {
    return replica.leads(now) ? OptionalLong.of(replica.term()) : OptionalLong.empty();
  }

  /**
   * Returns when this host's lease as the leader ends, as far as quorums have acknowledged by now;
   * empty if it does not lead or its lease has ended. The lease counts from the sending of what was
   * acknowledged, and no other host leads before it ends.
   */
  public Optional<Instant> leaseUntil(Instant now) {
    return replica.leaseUntil(now);
  }

  /** Returns who votes, by the newest entry of this host's log. */
  public Membership membership() {
    return replica.membership();
  }

  /** Returns this host's view of the current term and leader. */
  public AgreementStatus status(Instant now) {
    return new AgreementStatus(
        replica.term(),
        replica.leader(now),
        replica.leads(now),
        replica.votingStatus(),
        replica.membership(),
        replica.learners(),
        replica.silentVoters(now),
        replica.appliedIndex());
  }

  /** Returns the estimated memory of the log entries after the snapshot, in bytes. */
  public long logBytes() {
    return replica.logBytes();
  }

  /** Returns the index of the last log entry that is applied to the state. */
  public long appliedIndex() {
    return replica.appliedIndex();
  }

  /**
   * Returns the result of a command that the state already reflects; empty if it must be proposed.
   */
  private Optional<CommandResult> findResult(Command command) {
    return switch (command) {
      case Command.AcceptTicket c ->
          state.ledger().findAnswer(c.ticket()).map(CommandResult.TicketAnswered::new);
      case Command.ReplaceConfiguration c ->
          c.document().isNewerThan(state.document())
              ? Optional.empty()
              : Optional.of(new CommandResult.ConfigurationReplaced(state.document().version()));
      case Command.CarryOut c ->
          state.isInForce(c.order()) && isCountedSince(c)
              ? Optional.of(new CommandResult.OrderCarriedOut())
              : Optional.empty();
      case Command.ChangeClaim _, Command.AdvanceRollout _, Command.ChangeDuty _ ->
          Optional.empty();
    };
  }

  /** Returns whether an order on the subject was carried out after this one was taken up. */
  private boolean isCountedSince(Command.CarryOut command) {
    return command.basis().isPresent()
        && state.orderCount(command.order().subject()) > command.basis().getAsLong();
  }

  /**
   * Advances the time as of which the state is current, and answers followers' read index requests.
   */
  private void updateReadIndex(Instant now) {
    Optional<Instant> confirmedAt = replica.confirmedAt(now);
    readIndex.advance(confirmedAt, replica.appliedIndex(), replica.commitIndex());
    actions.addAll(readIndex.drainReplies(confirmedAt, replica.commitIndex(), now));
  }

  /** Proposes or forwards waiting commands if a leader is known. */
  private void submitWaiting(Instant now) {
    Optional<HostId> leader = replica.leader(now);
    if (leader.isEmpty()) {
      return;
    }
    for (Map.Entry<RequestId, PendingCommand> entry : List.copyOf(pending.entrySet())) {
      PendingCommand command = entry.getValue();
      if (command.isReadyFor(replica.term(), now)) {
        submitToLeader(leader.get(), entry.getKey(), command, now);
      }
    }
  }

  /** Proposes the command if this host leads, and otherwise forwards it to the leader. */
  private void submitToLeader(HostId leader, RequestId id, PendingCommand command, Instant now) {
    if (leader.equals(self)) {
      handle(new ReplicaEvent.Propose<>(id, command.command()), now);
    } else {
      command.markForwarded(replica.term());
      send(leader, new StateMachineMessage.Forward(id, command.command()));
    }
  }

  /**
   * Passes an event to the replica, performs the resulting actions, and compacts the log if it
   * exceeds its limits.
   */
  private void handle(ReplicaEvent<Command, StateSnapshot> event, Instant now) {
    replica.handle(event, now).forEach(this::perform);
    if (replica.exceeds(limits) && replica.appliedIndex() == replica.commitIndex()) {
      replica.handle(new ReplicaEvent.Compact<>(state.snapshot()), now).forEach(this::perform);
    }
  }

  private void perform(ReplicaAction<Command, StateSnapshot> action) {
    switch (action) {
      case ReplicaAction.Send<Command, StateSnapshot> a ->
          send(a.to(), new StateMachineMessage.Replication(a.message()));
      case ReplicaAction.Write<Command, StateSnapshot> a ->
          actions.add(new StateMachineAction.Write(a));
      case ReplicaAction.Apply<Command, StateSnapshot> a -> apply(a.entry());
      case ReplicaAction.Restore<Command, StateSnapshot> a -> restore(a.snapshot());
      case ReplicaAction.ProposalAppended<Command, StateSnapshot> a -> {
        HostId origin = forwarders.remove(a.id());
        if (origin == null) {
          onAppended(a.id(), a.index(), a.term());
        } else {
          send(origin, new StateMachineMessage.ProposalAppended(a.id(), a.index(), a.term()));
        }
      }
      case ReplicaAction.ProposalRejected<Command, StateSnapshot> a -> {
        HostId origin = forwarders.remove(a.id());
        if (origin == null) {
          onRejected(a.id());
        } else {
          send(origin, new StateMachineMessage.ProposalRejected(a.id()));
        }
      }
    }
  }

  private void apply(LogEntry<Command> entry) {
    switch (entry.content()) {
      case EntryContent.Proposed<Command> c -> {
        Configuration before = state.configuration();
        CommandResult result = state.apply(c.command(), entry.createdAt());
        if (state.configuration().revision().isAfter(before.revision())) {
          announceConfiguration(before);
        }
        completeAtIndex(entry, new CommandOutcome.Committed(result));
      }
      case EntryContent.NoOp<Command> c -> completeAtIndex(entry, PendingCommand.unknownOutcome());
      case EntryContent.ChangeMembership<Command> c ->
          completeAtIndex(entry, PendingCommand.unknownOutcome());
    }
  }

  private void announceConfiguration(Configuration before) {
    ConfigurationChange change = before.changeTo(state.configuration());
    actions.add(new StateMachineAction.StateChanged(state.configuration(), Optional.of(change)));
  }

  /** Completes pending commands whose log index is the entry's index. */
  private void completeAtIndex(LogEntry<Command> entry, CommandOutcome outcome) {
    for (Map.Entry<RequestId, PendingCommand> next : List.copyOf(pending.entrySet())) {
      if (next.getValue().stage() instanceof Stage.Appended appended
          && appended.index() == entry.index()) {
        completeOrRetry(next.getKey(), next.getValue(), appended.term() == entry.term(), outcome);
      }
    }
  }

  /**
   * Answers a command whose index was committed, unless another entry took the index and the
   * command can be proposed again.
   */
  private void completeOrRetry(
      RequestId id, PendingCommand command, boolean isSameEntry, CommandOutcome outcome) {
    if (isSameEntry || !command.retryAfterDisplacement()) {
      pending.remove(id);
      answer(id, isSameEntry ? outcome : PendingCommand.unknownOutcome());
    }
  }

  /** Replaces the state with a snapshot, and answers the commands whose indexes it covers. */
  private void restore(Snapshot<StateSnapshot> snapshot) {
    state.restore(snapshot.state());
    actions.add(new StateMachineAction.StateChanged(state.configuration(), Optional.empty()));
    Iterator<Map.Entry<RequestId, PendingCommand>> all = pending.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestId, PendingCommand> next = all.next();
      if (next.getValue().stage() instanceof Stage.Appended appended
          && appended.index() <= snapshot.index()) {
        all.remove();
        answer(next.getKey(), outcomeFromState(next.getValue().command()));
      }
    }
  }

  /** Records the index of a command. If that index is already applied, answers from the state. */
  private void onAppended(RequestId id, long index, long term) {
    PendingCommand command = pending.get(id);
    if (command == null) {
      return;
    }
    command.markAppended(index, term);
    if (index <= replica.appliedIndex()) {
      pending.remove(id);
      answer(id, outcomeFromState(command.command()));
    }
  }

  private void onRejected(RequestId id) {
    PendingCommand command = pending.get(id);
    if (command != null && !(command.stage() instanceof Stage.Appended)) {
      command.markRejected();
    }
  }

  /** Returns the outcome of a command whose entry was not seen while it was applied. */
  private CommandOutcome outcomeFromState(Command command) {
    return findResult(command)
        .<CommandOutcome>map(CommandOutcome.Committed::new)
        .orElseGet(PendingCommand::unknownOutcome);
  }

  /** Fails the pending commands whose timeout has passed. */
  private void expirePending(Instant now) {
    Iterator<Map.Entry<RequestId, PendingCommand>> all = pending.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<RequestId, PendingCommand> next = all.next();
      if (next.getValue().isExpired(now)) {
        all.remove();
        answer(next.getKey(), next.getValue().timeoutOutcome());
      }
    }
  }

  private void send(HostId to, StateMachineMessage message) {
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
