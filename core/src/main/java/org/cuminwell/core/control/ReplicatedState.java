package org.cuminwell.core.control;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.duty.DutySnapshot;
import org.cuminwell.core.duty.DutyTable;
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
 * Holds the state that the control hosts replicate.
 *
 * <p>Invariant: the state is a function only of the applied commands and their times, so replicas
 * that have applied the same prefix of the log are equal. Only {@link #apply} and {@link #restore}
 * change it. Not thread safe: one thread owns it.
 */
public final class ReplicatedState {

  private TicketLedger ledger = new TicketLedger();
  private ClaimRegistry claims = new ClaimRegistry();
  private RolloutRegistry routeRollouts = new RolloutRegistry();
  private ConfigurationDocument document = ConfigurationDocument.NONE;
  private OrderCounts orderCounts = new OrderCounts(Map.of());
  private DutyTable duties = new DutyTable(DutySnapshot.NONE);

  /**
   * Applies the next command of the log.
   *
   * @param at the time recorded in the log entry, at which the leader proposed the command
   */
  public CommandResult apply(Command command, Instant at) {
    return switch (command) {
      case Command.AcceptTicket c -> new CommandResult.TicketAnswered(ledger.apply(c.ticket(), at));
      case Command.ChangeClaim c ->
          new CommandResult.ClaimAnswered(c.change().id(), claims.apply(c.change(), at));
      case Command.AdvanceRollout c ->
          new CommandResult.RolloutAdvanced(advanceRollout(c.advance(), at));
      case Command.ReplaceConfiguration c -> replaceConfiguration(c);
      case Command.CarryOut c -> carryOut(c, at);
      case Command.ChangeDuty c -> new CommandResult.DutyChanged(duties.apply(c.change(), at));
    };
  }

  /** Returns a snapshot of the whole state. */
  public StateSnapshot snapshot() {
    return new StateSnapshot(
        ledger.configuration(),
        ledger.acceptedTickets(),
        claims.snapshot(),
        routeRollouts.latestSteps(),
        document,
        orderCounts.snapshot(),
        duties.snapshot());
  }

  /** Replaces the whole state with a later one. */
  public void restore(StateSnapshot snapshot) {
    ledger = TicketLedger.of(snapshot.configuration(), snapshot.tickets());
    claims = new ClaimRegistry(snapshot.claims());
    routeRollouts = new RolloutRegistry(snapshot.rollouts());
    document = snapshot.document();
    orderCounts = new OrderCounts(snapshot.orderCounts());
    duties = new DutyTable(snapshot.duties());
  }

  /** Returns the tickets accepted so far. */
  public TicketLedger ledger() {
    return ledger;
  }

  /** Returns the configuration after the last applied command. */
  public Configuration configuration() {
    return ledger.configuration();
  }

  /** Returns who holds the duties, and the usage reports that are fixed. */
  public DutyTable duties() {
    return duties;
  }

  /** Returns the recorded steps of route rollouts. */
  public RolloutRegistry routeRollouts() {
    return routeRollouts;
  }

  /** Returns the submitted configuration with the highest version. */
  public ConfigurationDocument document() {
    return document;
  }

  /** Puts the configuration in force, keeping current evacuations and service rollouts. */
  private CommandResult replaceConfiguration(Command.ReplaceConfiguration command) {
    if (command.document().isNewerThan(document)) {
      document = command.document();
      Configuration current = configuration();
      Forwarding next =
          command.content().forwarding().withEvacuationsAndRolloutsOf(current.forwarding());
      ledger.applyChange(current.changeTo(command.content().withForwarding(next)));
    }
    return new CommandResult.ConfigurationReplaced(document.version());
  }

  /** Returns the number of orders that were carried out on the subject. */
  long orderCount(OrderSubject subject) {
    return orderCounts.count(subject);
  }

  /** Returns whether the state is as the order asks. */
  boolean isInForce(OperatorOrder order) {
    return switch (order) {
      case OperatorOrder.Evacuate o ->
          configuration().forwarding().evacuated().contains(o.dataCentre()) == o.evacuated();
      case OperatorOrder.BeginRollout o -> isLastRollout(o.rollout());
    };
  }

  /**
   * Carries out the order unless another one has come in between. An order that finds its state in
   * force counts too, so that older orders that ask for another state are refused from then on.
   */
  private CommandResult carryOut(Command.CarryOut command, Instant at) {
    OperatorOrder order = command.order();
    if (!isInForce(order)) {
      if (isOvertaken(command)) {
        return new CommandResult.OrderOvertaken();
      }
      putInForce(order, at);
    }
    if (command.basis().isPresent()) {
      orderCounts.increment(order.subject());
    }
    return new CommandResult.OrderCarriedOut();
  }

  private boolean isOvertaken(Command.CarryOut command) {
    OptionalLong basis = command.basis();
    return basis.isPresent() && basis.getAsLong() != orderCounts.count(command.order().subject());
  }

  private void putInForce(OperatorOrder order, Instant at) {
    switch (order) {
      case OperatorOrder.Evacuate o -> changeEvacuation(o.dataCentre(), o.evacuated());
      case OperatorOrder.BeginRollout o -> beginRollout(o.rollout(), at);
    }
  }

  private void changeEvacuation(DataCentreId dataCentre, boolean begins) {
    Forwarding forwarding = configuration().forwarding();
    Set<DataCentreId> evacuated = new TreeSet<>(forwarding.evacuated());
    if (begins) {
      evacuated.add(dataCentre);
    } else {
      evacuated.remove(dataCentre);
    }
    replaceForwarding(forwarding.withEvacuated(evacuated));
  }

  /** Returns whether the order's target version is that of the service's last rollout. */
  private boolean isLastRollout(RolloutOrder order) {
    return findServiceRollouts(order.service())
        .filter(rollouts -> rollouts.last().rollout().to().equals(order.to()))
        .isPresent();
  }

  /** Returns the rollouts of a service, if there were any. */
  public Optional<ServiceRolloutState> findServiceRollouts(String service) {
    return Optional.ofNullable(configuration().forwarding().serviceRollouts().get(service));
  }

  private void beginRollout(RolloutOrder order, Instant at) {
    ServiceRolloutState next =
        ServiceRolloutState.afterOrder(findServiceRollouts(order.service()), order, at);
    replaceForwarding(configuration().forwarding().withServiceRollouts(order.service(), next));
  }

  private boolean advanceRollout(RolloutAdvance advance, Instant at) {
    return switch (advance.rollout()) {
      case RouteRollout routeRollout ->
          isConfigured(routeRollout) && routeRollouts.recordIfNext(advance, at);
      case ServiceRollout rollout -> advanceServiceRollout(rollout.service(), advance, at);
    };
  }

  /** Records the step if it follows the last one, and returns whether it does. */
  private boolean advanceServiceRollout(String service, RolloutAdvance advance, Instant at) {
    Optional<ServiceRolloutState> before = findServiceRollouts(service);
    Optional<ServiceRolloutState> after =
        before.map(rollouts -> rollouts.afterAdvance(advance, at));
    if (after.equals(before)) {
      return false;
    }
    replaceForwarding(
        configuration().forwarding().withServiceRollouts(service, after.orElseThrow()));
    return true;
  }

  private void replaceForwarding(Forwarding next) {
    ledger.applyChange(configuration().changeTo(configuration().withForwarding(next)));
  }

  /** Returns whether the rollout is the one that the configuration currently asks for. */
  private boolean isConfigured(RouteRollout routeRollout) {
    return routeRollout.equals(configuration().rollouts().get(routeRollout.route()));
  }
}
