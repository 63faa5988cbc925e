package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.model.Verdict;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;

/** Checks what operators and hosts have seen against one order of tickets that never reverts. */
final class AgreementHistory {

  private final Map<Long, StateSnapshot> states = new HashMap<>();
  private final Map<Long, HostId> leaders = new HashMap<>();
  private final Map<TicketNumber, Accepted> winners = new HashMap<>();
  private final Map<RequestId, Ticket> open = new HashMap<>();
  private final Set<Ticket> mayStand = new HashSet<>();
  private final Set<Ticket> submitted = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private final List<String> failed = new ArrayList<>();
  private int accepted;

  void submitted(RequestId id, Ticket ticket) {
    open.put(id, ticket);
    submitted.add(ticket);
  }

  void answered(RequestId id, CommandOutcome outcome) {
    Ticket ticket = open.remove(id);
    if (ticket == null) {
      faults.add("second answer to " + id);
      return;
    }
    switch (outcome) {
      case CommandOutcome.Done done -> {
        mayStand.add(ticket);
        answered(ticket, done.result());
      }
      case CommandOutcome.Failed f -> {
        failed.add(id + ": " + f.failure());
        if (!(f.failure().verdict() instanceof Verdict.NotRun)) {
          mayStand.add(ticket);
        }
      }
    }
  }

  private void answered(Ticket ticket, Applied result) {
    if (!(result instanceof Applied.TicketAnswered applied)) {
      return;
    }
    switch (applied.answer()) {
      case TicketAnswer.Accepted a -> {
        accepted++;
        if (!a.ticket().equals(ticket)) {
          faults.add("accepted another ticket than " + ticket);
        }
        wins(a);
      }
      case TicketAnswer.Conflict c -> {
        if (c.winner().ticket().equals(ticket)) {
          faults.add("conflict with itself: " + ticket);
        }
        wins(c.winner());
      }
      case TicketAnswer.Refused r -> faults.add("valid ticket refused: " + r.errors());
    }
  }

  private void wins(Accepted answer) {
    Accepted before = winners.putIfAbsent(answer.ticket().number(), answer);
    if (before != null && !before.equals(answer)) {
      faults.add("ticket " + answer.ticket().number() + " won twice");
    }
  }

  /** Checks a host after it has handled an event. */
  void observe(AgreementHost host, ReplicatedStateMachine replicatedStateMachine, Instant now) {
    StateSnapshot state = replicatedStateMachine.state().snapshot();
    StateSnapshot before = states.putIfAbsent(replicatedStateMachine.appliedIndex(), state);
    if (before != null && !before.equals(state)) {
      faults.add(host.id + " differs at index " + replicatedStateMachine.appliedIndex());
    }
    long revision = state.configuration().revision().value();
    if (revision < host.lastRevision) {
      faults.add(host.id + " went back to revision " + revision);
    }
    host.lastRevision = revision;
    replicatedStateMachine
        .fencingNumber(now)
        .ifPresent(
            term -> {
              HostId other = leaders.putIfAbsent(term, host.id);
              if (other != null && !other.equals(host.id)) {
                faults.add(other + " and " + host.id + " lead in term " + term);
              }
            });
  }

  void acting(long leaders) {
    if (leaders > 1) {
      faults.add(leaders + " leaders act at once");
    }
  }

  /** Checks a host after all faults have ended. */
  void settled(ReplicatedStateMachine replicatedStateMachine) {
    for (Accepted winner : winners.values()) {
      if (!replicatedStateMachine
          .state()
          .ledger()
          .find(winner.ticket().number())
          .equals(Optional.of(winner))) {
        faults.add("accepted ticket " + winner.ticket().number() + " is lost");
      }
    }
    for (Accepted standing : replicatedStateMachine.state().ledger().all()) {
      boolean possible =
          mayStand.contains(standing.ticket()) || open.containsValue(standing.ticket());
      if (!possible || !submitted.contains(standing.ticket())) {
        faults.add("ticket " + standing.ticket().number() + " stands but was said not taken");
      }
    }
  }

  void fault(String fault) {
    faults.add(fault);
  }

  List<String> faults() {
    return List.copyOf(faults);
  }

  /** Returns the submissions that failed or were not answered. */
  List<String> failed() {
    List<String> all = new ArrayList<>(failed);
    open.keySet().forEach(id -> all.add(id + ": no answer"));
    return all;
  }

  int accepted() {
    return accepted;
  }
}
