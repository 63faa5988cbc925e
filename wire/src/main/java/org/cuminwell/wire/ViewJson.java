package org.cuminwell.wire;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import org.cuminwell.core.consensus.Member;
import org.cuminwell.core.control.AgreementStatus;
import org.cuminwell.core.control.ControlView;
import org.cuminwell.core.distribution.GatewayStatus;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.ticket.TicketAnswer;
import org.cuminwell.core.ticket.TicketAnswer.Accepted;
import org.cuminwell.core.ticket.ValidationError;

/** Writes what operators see as JSON. Stateless and thread safe. */
public final class ViewJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int SCREEN_TICKETS = 12;
  private static final int SCREEN_MISSING_HOSTS = 6;

  private ViewJson() {}

  /** Returns the state of the whole system. */
  public static ObjectNode write(ControlView view) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("control_host", view.self().value());
    root.put("revision", view.configuration().revision().value());
    root.set("agreement", write(view.agreement()));
    var gateways = root.putArray("gateways");
    view.gateways().forEach(gateway -> gateways.add(write(gateway)));
    var tickets = root.putArray("tickets");
    view.tickets().forEach(ticket -> tickets.add(summary(ticket, view)));
    return root;
  }

  private static ObjectNode write(AgreementStatus agreement) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("term", agreement.term());
    node.put("leader", agreement.leader().map(HostId::value).orElse(null));
    node.put("standing", agreement.standingName());
    writeMembers(node.putArray("voters"), agreement.membership().voters());
    writeMembers(node.putArray("next_voters"), agreement.membership().nextVoters());
    var learners = node.putArray("learners");
    agreement.learners().forEach(host -> learners.add(host.value()));
    var silent = node.putArray("silent_voters");
    agreement.silentVoters().forEach(host -> silent.add(host.value()));
    node.put("losses_borne", agreement.lossesBorne());
    return node;
  }

  private static void writeMembers(ArrayNode to, Collection<Member> members) {
    members.forEach(
        member ->
            to.addObject()
                .put("host", member.host().value())
                .put("address", member.address().toString()));
  }

  /** Returns what a screen shows: every gateway, and the latest tickets with who lacks them. */
  public static ObjectNode screen(ControlView view) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("control_host", view.self().value());
    root.put("revision", view.configuration().revision().value());
    root.put("highest_held", view.highestGatewayRevision().value());
    var gateways = root.putArray("gateways");
    view.gateways().forEach(gateway -> gateways.add(write(gateway)));
    var tickets = root.putArray("tickets");
    int first = Math.max(0, view.tickets().size() - SCREEN_TICKETS);
    for (Accepted ticket : view.tickets().subList(first, view.tickets().size())) {
      ObjectNode node = summary(ticket, view);
      var missing = node.putArray("not_in_force");
      view.gateways().stream()
          .filter(gateway -> ticket.revision().isAfter(gateway.revisionInForce()))
          .limit(SCREEN_MISSING_HOSTS)
          .forEach(gateway -> missing.add(gateway.host().id().value()));
      tickets.add(node);
    }
    return root;
  }

  /** Returns the fate of one ticket with its content. */
  public static ObjectNode write(Accepted ticket, ControlView view) {
    ObjectNode node = summary(ticket, view);
    node.set("content", TicketJson.write(ticket.ticket()));
    return node;
  }

  /** Returns the answer to a submitted ticket. */
  public static ObjectNode write(TicketAnswer answer, ControlView view) {
    return switch (answer) {
      case Accepted accepted -> write(accepted, view);
      case TicketAnswer.Conflict conflict -> {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("fate", "conflict");
        node.set("winner", write(conflict.winner(), view));
        yield node;
      }
      case TicketAnswer.Refused refused -> write(refused.errors());
    };
  }

  /** Returns the faults of a ticket that was refused. */
  public static ObjectNode write(Iterable<ValidationError> faults) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("fate", "refused");
    var list = node.putArray("faults");
    faults.forEach(
        fault -> list.addObject().put("path", fault.path()).put("message", fault.message()));
    return node;
  }

  private static ObjectNode summary(Accepted ticket, ControlView view) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("number", ticket.ticket().number().value());
    node.put("fate", "accepted");
    node.put("revision", ticket.revision().value());
    node.put("accepted_at", ticket.acceptedAt().toString());
    node.put("in_force_at", view.countGatewaysAtRevision(ticket.revision()));
    node.put("hosts", view.gateways().size());
    return node;
  }

  private static ObjectNode write(GatewayStatus gateway) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("host", gateway.host().id().value());
    node.put("region", gateway.host().place().region().value());
    node.put("data_centre", gateway.host().place().dataCentre().value());
    node.put("callers", gateway.host().callerAddress().toString());
    node.put("inner", gateway.host().internalAddress().toString());
    node.put("revision", gateway.revisionInForce().value());
    node.put("connected", gateway.connected());
    node.put("since", gateway.connectionChangedAt().toString());
    node.put("feeder", gateway.feeder());
    node.put("stopping", gateway.host().stopping());
    return node;
  }
}
