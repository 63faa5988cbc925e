package org.cuminwell.core.control;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.idempotency.ClaimAnswer;
import org.cuminwell.core.idempotency.ClaimId;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Submits gateways' claim changes as commands and sends the results back.
 *
 * <p>A change whose outcome is unknown gets no reply; the gateway sends it again. Not thread safe:
 * the thread of its {@link Control} owns it.
 */
final class ClaimHandler {

  private final InternalSubmissions submissions;
  private final Set<RequestId> pending = new HashSet<>();

  ClaimHandler(InternalSubmissions submissions) {
    this.submissions = submissions;
  }

  /** Tells a newly connected peer that this process is a control host, and which host leads. */
  void sendLeader(HostId peer, Instant now, List<ControlAction> actions) {
    actions.add(messageTo(peer, new IdempotencyMessage.LeaderUpdate(submissions.leader(now))));
  }

  void onMessage(IdempotencyMessage message, Instant now) {
    switch (message) {
      case IdempotencyMessage.ChangeRequest changeRequest -> {
        RequestId id = submissions.nextId(now);
        pending.add(id);
        submissions.submit(id, new Command.ChangeClaim(changeRequest.change()), now);
      }
      case IdempotencyMessage.ChangeReply m -> {}
      case IdempotencyMessage.LeaderUpdate m -> {}
    }
  }

  /** Sends the result to the gateway that made the claim. */
  void onAnswered(RequestId id, ClaimId claim, ClaimAnswer answer, List<ControlAction> actions) {
    pending.remove(id);
    actions.add(messageTo(claim.gateway(), new IdempotencyMessage.ChangeReply(claim, answer)));
  }

  /** Removes a failed submission and returns whether it was made by this handler. */
  boolean removeFailed(RequestId id) {
    return pending.remove(id);
  }

  private static SendToPeer messageTo(HostId peer, IdempotencyMessage message) {
    return new SendToPeer(peer, new PeerMessage.Idempotency(message));
  }
}
