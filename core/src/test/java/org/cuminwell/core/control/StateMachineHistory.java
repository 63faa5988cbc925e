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

/**
 * Checks the answers to operators and the states of hosts against a single order of tickets that
 * never reverts.
 */
final class StateMachineHistory {

  private final Map<Long, StateSnapshot> states = new HashMap<>();
  private final Map<Long, HostId> leaders = new HashMap<>();
  private final Map<TicketNumber, Accepted> winners = new HashMap<>();
  private final Map<RequestId, Ticket> unanswered = new HashMap<>();
  private final Set<Ticket> possiblyAccepted = new HashSet<>();
  private final Set<Ticket> submitted = new HashSet<>();
  private final List<String> faults = new ArrayList<>();
  private final List<String> failed = new ArrayList<>();
  private int accepted;

  void onSubmitted(RequestId id, Ticket ticket) {
    unanswered.put(id, ticket);
    submitted.add(ticket);
  }

  void onAnswered(RequestId id, CommandOutcome outcome) {
    Ticket ticket = unanswered.remove(id);
    if (ticket == null) {
      faults.add("second answer to " + id);
      return;
    }
    switch (outcome) {
      case CommandOutcome.Committed done -> {
        possiblyAccepted.add(ticket);
        checkResult(ticket, done.result());
      }
      case CommandOutcome.Failed f -> {
        failed.add(id + ": " + f.failure());
        if (!(f.failure().verdict() instanceof Verdict.NotRun)) {
          possiblyAccepted.add(ticket);
        }
      }
    }
  }

  private void checkResult(Ticket ticket, CommandResult result) {
    if (!(result instanceof CommandResult.TicketAnswered applied)) {
      return;
    }
    switch (applied.answer()) {
      case TicketAnswer.Accepted a -> {
        accepted++;
        if (!a.ticket().equals(ticket)) {
          faults.add("another ticket was accepted in place of " + ticket);
        }
        recordWinner(a);
      }
      case TicketAnswer.Conflict c -> {
        if (c.winner().ticket().equals(ticket)) {
          faults.add("ticket conflicts with itself: " + ticket);
        }
        recordWinner(c.winner());
      }
      case TicketAnswer.Refused r -> faults.add("valid ticket refused: " + r.errors());
    }
  }

  /** Checks that a ticket number always has the same accepted ticket. */
  private void recordWinner(Accepted answer) {
    Accepted before = winners.putIfAbsent(answer.ticket().number(), answer);
    if (before != null && !before.equals(answer)) {
      faults.add(
          "ticket " + answer.ticket().number() + " was accepted with two different contents");
    }
  }

  /** Checks a host's state after it has handled an event. */
  void observe(SimulatedHost host, ReplicatedStateMachine replicatedStateMachine, Instant now) {
    StateSnapshot state = replicatedStateMachine.state().snapshot();
    StateSnapshot before = states.putIfAbsent(replicatedStateMachine.appliedIndex(), state);
    if (before != null && !before.equals(state)) {
      faults.add(
          host.id + " has a different state at index " + replicatedStateMachine.appliedIndex());
    }
    long revision = state.configuration().revision().value();
    if (revision < host.lastRevision) {
      faults.add(host.id + " reverted to revision " + revision);
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

  /** Checks that at most one host holds a valid leader lease. */
  void checkLeaderCount(long leaders) {
    if (leaders > 1) {
      faults.add(leaders + " hosts hold a valid leader lease at once");
    }
  }

  /** Checks a host's state after all injected faults have ended. */
  void checkFinalState(ReplicatedStateMachine replicatedStateMachine) {
    for (Accepted winner : winners.values()) {
      if (!replicatedStateMachine
          .state()
          .ledger()
          .find(winner.ticket().number())
          .equals(Optional.of(winner))) {
        faults.add("accepted ticket " + winner.ticket().number() + " is lost");
      }
    }
    for (Accepted current : replicatedStateMachine.state().ledger().acceptedTickets()) {
      boolean possible =
          possiblyAccepted.contains(current.ticket()) || unanswered.containsValue(current.ticket());
      if (!possible || !submitted.contains(current.ticket())) {
        faults.add(
            "ticket "
                + current.ticket().number()
                + " is accepted, but its submitter was told that it was not run");
      }
    }
  }

  void addFault(String fault) {
    faults.add(fault);
  }

  List<String> faults() {
    return List.copyOf(faults);
  }

  /** Returns the submissions that failed or were not answered. */
  List<String> failedSubmissions() {
    List<String> all = new ArrayList<>(failed);
    unanswered.keySet().forEach(id -> all.add(id + ": no answer"));
    return all;
  }

  int accepted() {
    return accepted;
  }
}
