package org.cuminwell.wire;

import com.google.protobuf.ByteString;
import java.time.Instant;
import org.cuminwell.core.config.ConfigurationDocument;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.TicketNumber;
import org.cuminwell.core.ticket.Ticket;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;
import org.cuminwell.wire.generated.AcceptedTicket;

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
      case Command.Evacuate c ->
          to.getEvacuateBuilder().setDataCentre(c.dataCentre().value()).setBegins(c.evacuated());
      case Command.BeginRollout c -> to.setBeginRollout(RolloutCodec.toProto(c.order()));
      case Command.AdvanceRollout c -> to.setAdvanceRollout(RolloutCodec.toProto(c.advance()));
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
          new Command.BeginRollout(RolloutCodec.fromProto(from.getBeginRollout()));
      case EVACUATE ->
          new Command.Evacuate(
              new DataCentreId(from.getEvacuate().getDataCentre()), from.getEvacuate().getBegins());
      case KIND_NOT_SET -> throw new IllegalArgumentException("command without a kind");
    };
  }

  static org.cuminwell.wire.generated.StateSnapshot toProto(StateSnapshot from) {
    var to = org.cuminwell.wire.generated.StateSnapshot.newBuilder();
    to.setConfiguration(ConfigurationCodec.toProto(from.configuration()));
    from.tickets().forEach(ticket -> to.addTicket(toProto(ticket)));
    to.setClaims(IdempotencyCodec.toProto(from.claims()));
    from.rollouts().forEach(move -> to.addMove(RolloutCodec.toProto(move)));
    if (!from.document().equals(ConfigurationDocument.NONE)) {
      to.setDocument(toProto(from.document()));
    }
    return to.build();
  }

  static StateSnapshot fromProto(org.cuminwell.wire.generated.StateSnapshot from) {
    return new StateSnapshot(
        ConfigurationCodec.fromProto(from.getConfiguration()),
        from.getTicketList().stream().map(StateCodec::fromProto).toList(),
        IdempotencyCodec.fromProto(from.getClaims()),
        from.getMoveList().stream().map(RolloutCodec::fromProto).toList(),
        from.hasDocument() ? fromProto(from.getDocument()) : ConfigurationDocument.NONE);
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
