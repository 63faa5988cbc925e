package org.cuminwell.core.control;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.idempotency.ClaimRegistry;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.rollout.RolloutRegistry;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.core.ticket.TicketLedger;

/**
 * Holds the state that all control hosts agree on.
 *
 * <p>Invariant: the state is a function of the commands applied and their times alone, so that
 * replicas that have applied the same prefix of the log are equal. Nothing may change it but {@link
 * #apply} and {@link #restore}. Not thread safe: one thread owns it.
 */
public final class ReplicatedState {

  private TicketLedger ledger = new TicketLedger();
  private ClaimRegistry claims = new ClaimRegistry();
  private RolloutRegistry moves = new RolloutRegistry();
  private ConfigurationDocument document = ConfigurationDocument.NONE;

  /**
   * Applies the next command of the log.
   *
   * @param at the time at which the leader proposed it, which the log carries
   */
  public Applied apply(Command command, Instant at) {
    return switch (command) {
      case Command.AcceptTicket c -> new Applied.TicketAnswered(ledger.apply(c.ticket(), at));
      case Command.ChangeClaim c ->
          new Applied.ClaimAnswered(c.change().id(), claims.apply(c.change(), at));
      case Command.AdvanceRollout c -> new Applied.RolloutAdvanced(advance(c.advance(), at));
      case Command.BeginRollout c -> begin(c.order(), at);
      case Command.ReplaceConfiguration c -> replace(c);
      case Command.Evacuate c -> evacuate(c);
    };
  }

  /** Returns the whole state. */
  public StateSnapshot snapshot() {
    return new StateSnapshot(
        ledger.configuration(), ledger.all(), claims.snapshot(), moves.latestSteps(), document);
  }

  /** Replaces the whole state by a later one. */
  public void restore(StateSnapshot snapshot) {
    ledger = TicketLedger.of(snapshot.configuration(), snapshot.tickets());
    claims = new ClaimRegistry(snapshot.claims());
    moves = new RolloutRegistry(snapshot.rollouts());
    document = snapshot.document();
  }

  /** Returns the tickets accepted so far. */
  public TicketLedger ledger() {
    return ledger;
  }

  /** Returns the configuration after the last applied command. */
  public Configuration configuration() {
    return ledger.configuration();
  }

  /** Returns the recorded steps of version rollouts. */
  public RolloutRegistry moves() {
    return moves;
  }

  /** Returns the configuration of the highest version, as it was submitted. */
  public ConfigurationDocument document() {
    return document;
  }

  /** Puts the content in force beside the evacuations that go on. */
  private Applied replace(Command.ReplaceConfiguration command) {
    if (command.document().replaces(document)) {
      document = command.document();
      Configuration now = configuration();
      Forwarding next = command.content().forwarding().withOrdersOf(now.forwarding());
      ledger.change(now.changeTo(command.content().withForwarding(next)));
    }
    return new Applied.ConfigurationReplaced(document.version());
  }

  private Applied evacuate(Command.Evacuate command) {
    Forwarding forwarding = configuration().forwarding();
    Set<DataCentreId> evacuated = new TreeSet<>(forwarding.evacuated());
    boolean changes =
        command.evacuated()
            ? evacuated.add(command.dataCentre())
            : evacuated.remove(command.dataCentre());
    if (changes) {
      change(forwarding.withEvacuated(evacuated));
    }
    return new Applied.Evacuated();
  }

  /** Returns whether the order's version is the one that its service moves or has moved to. */
  boolean hasBegun(RolloutOrder order) {
    return movesOf(order.service())
        .filter(moves -> moves.last().rollout().to().equals(order.to()))
        .isPresent();
  }

  /** Returns the version rollouts of a service, if there were any. */
  public Optional<ServiceRolloutState> movesOf(String service) {
    return Optional.ofNullable(configuration().forwarding().serviceRollouts().get(service));
  }

  private Applied begin(RolloutOrder order, Instant at) {
    if (!hasBegun(order)) {
      ServiceRolloutState next =
          ServiceRolloutState.afterOrder(movesOf(order.service()), order, at);
      change(configuration().forwarding().withServiceRollouts(order.service(), next));
    }
    return new Applied.RolloutBegun();
  }

  private boolean advance(RolloutAdvance advance, Instant at) {
    return switch (advance.rollout()) {
      case RouteRollout routeRollout ->
          isConfigured(routeRollout) && moves.recordIfNext(advance, at);
      case ServiceRollout rollout -> advance(rollout.service(), advance, at);
    };
  }

  private boolean advance(String service, RolloutAdvance advance, Instant at) {
    Optional<ServiceRolloutState> before = movesOf(service);
    Optional<ServiceRolloutState> after = before.map(moves -> moves.afterAdvance(advance, at));
    if (after.equals(before)) {
      return false;
    }
    change(configuration().forwarding().withServiceRollouts(service, after.orElseThrow()));
    return true;
  }

  private void change(Forwarding next) {
    ledger.change(configuration().changeTo(configuration().withForwarding(next)));
  }

  /** Returns whether the move is the one that the last ticket asked for. */
  private boolean isConfigured(RouteRollout routeRollout) {
    return routeRollout.equals(configuration().rollouts().get(routeRollout.route()));
  }
}
