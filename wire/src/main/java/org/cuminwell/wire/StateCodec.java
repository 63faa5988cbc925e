package org.cuminwell.wire;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.OperatorOrder;
import org.cuminwell.core.control.OrderSubject;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.duty.DutySnapshot;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;
import org.cuminwell.wire.generated.AcceptedTicket;
import org.cuminwell.wire.generated.StateSnapshot.OrderCount;

/**
 * Maps commands and the replicated state to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class StateCodec {

  private StateCodec() {}

  static org.cuminwell.wire.generated.Command toProto(Command from) {
    var to = org.cuminwell.wire.generated.Command.newBuilder();
    switch (from) {
      case Command.AcceptTicket c -> to.setAcceptTicket(toProto(c.ticket()));
      case Command.ChangeClaim c -> to.setChangeClaim(IdempotencyCodec.toProto(c.change()));
      case Command.ReplaceConfiguration c ->
          to.getReplaceConfigurationBuilder()
              .setDocument(toProto(c.document()))
              .setContent(ConfigurationCodec.toProto(c.content()));
      case Command.CarryOut c -> writeOrder(c, to);
      case Command.AdvanceRollout c -> to.setAdvanceRollout(RolloutCodec.toProto(c.advance()));
      case Command.ChangeDuty c ->
          to.setUnknownFields(
              DutyCodec.field(DutyCodec.COMMAND_FIELD, DutyCodec.toFields(c.change())));
    }
    return to.build();
  }

  static Command fromProto(org.cuminwell.wire.generated.Command from) {
    return switch (from.getKindCase()) {
      case ACCEPT_TICKET -> new Command.AcceptTicket(fromProto(from.getAcceptTicket()));
      case CHANGE_CLAIM ->
          new Command.ChangeClaim(IdempotencyCodec.fromProto(from.getChangeClaim()));
      case ADVANCE_ROLLOUT ->
          new Command.AdvanceRollout(RolloutCodec.fromProto(from.getAdvanceRollout()));
      case REPLACE_CONFIGURATION ->
          new Command.ReplaceConfiguration(
              fromProto(from.getReplaceConfiguration().getDocument()),
              ConfigurationCodec.fromProto(from.getReplaceConfiguration().getContent()));
      case BEGIN_ROLLOUT ->
          new Command.CarryOut(fromProto(from.getBeginRollout()), OptionalLong.empty());
      case EVACUATE -> new Command.CarryOut(fromProto(from.getEvacuate()), OptionalLong.empty());
      case CARRY_OUT ->
          new Command.CarryOut(
              orderOf(from.getCarryOut()), OptionalLong.of(from.getCarryOut().getBasis()));
      case KIND_NOT_SET ->
          DutyCodec.findMessage(from.getUnknownFields(), DutyCodec.COMMAND_FIELD)
              .map(change -> new Command.ChangeDuty(DutyCodec.changeOf(change)))
              .orElseThrow(() -> new IllegalArgumentException("command without a kind"));
    };
  }

  /** Writes the order; one without a basis keeps the form of the builds that had none. */
  private static void writeOrder(
      Command.CarryOut from, org.cuminwell.wire.generated.Command.Builder to) {
    if (from.basis().isEmpty()) {
      switch (from.order()) {
        case OperatorOrder.Evacuate order -> to.setEvacuate(toProto(order));
        case OperatorOrder.BeginRollout order ->
            to.setBeginRollout(RolloutCodec.toProto(order.rollout()));
      }
      return;
    }
    var carryOut = to.getCarryOutBuilder().setBasis(from.basis().getAsLong());
    switch (from.order()) {
      case OperatorOrder.Evacuate order -> carryOut.setEvacuate(toProto(order));
      case OperatorOrder.BeginRollout order ->
          carryOut.setBeginRollout(RolloutCodec.toProto(order.rollout()));
    }
  }

  private static OperatorOrder orderOf(org.cuminwell.wire.generated.Command.CarryOut from) {
    return switch (from.getOrderCase()) {
      case EVACUATE -> fromProto(from.getEvacuate());
      case BEGIN_ROLLOUT -> fromProto(from.getBeginRollout());
      case ORDER_NOT_SET -> throw new IllegalArgumentException("order without a kind");
    };
  }

  private static OperatorOrder fromProto(org.cuminwell.wire.generated.RolloutOrder from) {
    return new OperatorOrder.BeginRollout(RolloutCodec.fromProto(from));
  }

  private static org.cuminwell.wire.generated.Command.Evacuate toProto(
      OperatorOrder.Evacuate from) {
    return org.cuminwell.wire.generated.Command.Evacuate.newBuilder()
        .setDataCentre(from.dataCentre().value())
        .setBegins(from.evacuated())
        .build();
  }

  private static OperatorOrder fromProto(org.cuminwell.wire.generated.Command.Evacuate from) {
    return new OperatorOrder.Evacuate(new DataCentreId(from.getDataCentre()), from.getBegins());
  }

  private static OrderCount toProto(OrderSubject subject, long count) {
    OrderCount.Builder to = OrderCount.newBuilder().setCount(count);
    switch (subject) {
      case OrderSubject.Evacuation s -> to.setEvacuatedDataCentre(s.dataCentre().value());
      case OrderSubject.Rollouts s -> to.setRolledOutService(s.service());
    }
    return to.build();
  }

  private static OrderSubject subjectOf(OrderCount from) {
    return switch (from.getSubjectCase()) {
      case EVACUATED_DATA_CENTRE ->
          new OrderSubject.Evacuation(new DataCentreId(from.getEvacuatedDataCentre()));
      case ROLLED_OUT_SERVICE -> new OrderSubject.Rollouts(from.getRolledOutService());
      case SUBJECT_NOT_SET -> throw new IllegalArgumentException("order count without a subject");
    };
  }

  static org.cuminwell.wire.generated.StateSnapshot toProto(StateSnapshot from) {
    var to = org.cuminwell.wire.generated.StateSnapshot.newBuilder();
    to.setConfiguration(ConfigurationCodec.toProto(from.configuration()));
    from.tickets().forEach(ticket -> to.addTicket(toProto(ticket)));
    to.setClaims(IdempotencyCodec.toProto(from.claims()));
    from.rollouts().forEach(move -> to.addMove(RolloutCodec.toProto(move)));
    from.orderCounts().forEach((subject, count) -> to.addOrderCount(toProto(subject, count)));
    if (!from.document().equals(ConfigurationDocument.NONE)) {
      to.setDocument(toProto(from.document()));
    }
    if (!from.duties().equals(DutySnapshot.NONE)) {
      to.setUnknownFields(
          DutyCodec.field(DutyCodec.SNAPSHOT_FIELD, DutyCodec.toFields(from.duties())));
    }
    return to.build();
  }

  static StateSnapshot fromProto(org.cuminwell.wire.generated.StateSnapshot from) {
    return new StateSnapshot(
        ConfigurationCodec.fromProto(from.getConfiguration()),
        from.getTicketList().stream().map(StateCodec::fromProto).toList(),
        IdempotencyCodec.fromProto(from.getClaims()),
        from.getMoveList().stream().map(RolloutCodec::fromProto).toList(),
        from.hasDocument() ? fromProto(from.getDocument()) : ConfigurationDocument.NONE,
        from.getOrderCountList().stream()
            .collect(Collectors.toMap(StateCodec::subjectOf, OrderCount::getCount)),
        DutyCodec.findMessage(from.getUnknownFields(), DutyCodec.SNAPSHOT_FIELD)
            .map(DutyCodec::snapshotOf)
            .orElse(DutySnapshot.NONE));
  }

  private static org.cuminwell.wire.generated.ConfigurationDocument toProto(
      ConfigurationDocument from) {
    return org.cuminwell.wire.generated.ConfigurationDocument.newBuilder()
        .setVersion(from.version())
        .setText(ByteString.copyFrom(from.text().toArray()))
        .build();
  }

  private static ConfigurationDocument fromProto(
      org.cuminwell.wire.generated.ConfigurationDocument from) {
    return new ConfigurationDocument(from.getVersion(), Bytes.copyOf(from.getText().toByteArray()));
  }

  private static org.cuminwell.wire.generated.Ticket toProto(Ticket from) {
    return org.cuminwell.wire.generated.Ticket.newBuilder()
        .setNumber(from.number().value())
        .setChange(ConfigurationCodec.toProto(from.change()))
        .build();
  }

  private static Ticket fromProto(org.cuminwell.wire.generated.Ticket from) {
    return new Ticket(
        new TicketNumber(from.getNumber()), ConfigurationCodec.fromProto(from.getChange()));
  }

  private static AcceptedTicket toProto(Accepted from) {
    return AcceptedTicket.newBuilder()
        .setTicket(toProto(from.ticket()))
        .setRevision(from.revision().value())
        .setAtMillis(from.acceptedAt().toEpochMilli())
        .build();
  }

  private static Accepted fromProto(AcceptedTicket from) {
    return new Accepted(
        fromProto(from.getTicket()),
        new Revision(from.getRevision()),
        Instant.ofEpochMilli(from.getAtMillis()));
  }
}
