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
 * Brings gateways' claims into the log and their answers back.
 *
 * <p>A change whose fate is unknown is not answered; the gateway asks again. Not thread safe: the
 * thread of its {@link Control} owns it.
 */
final class ClaimDuty {

  private final Submissions submissions;
  private final Set<RequestId> open = new HashSet<>();

  ClaimDuty(Submissions submissions) {
    this.submissions = submissions;
  }

  /** Tells a gateway that this is a control host. */
  void greet(HostId peer, Instant now, List<ControlAction> actions) {
    actions.add(tell(peer, new IdempotencyMessage.LeaderUpdate(submissions.leader(now))));
  }

  void hear(IdempotencyMessage message, Instant now) {
    switch (message) {
      case IdempotencyMessage.ChangeRequest changeRequest -> {
        RequestId id = submissions.nextId(now);
        open.add(id);
        submissions.submit(id, new Command.ChangeClaim(changeRequest.change()), now);
      }
      case IdempotencyMessage.ChangeReply m -> {}
      case IdempotencyMessage.LeaderUpdate m -> {}
    }
  }

  /** Passes the answer on to the gateway that made the claim. */
  void answered(RequestId id, ClaimId claim, ClaimAnswer answer, List<ControlAction> actions) {
    open.remove(id);
    actions.add(tell(claim.gateway(), new IdempotencyMessage.ChangeReply(claim, answer)));
  }

  /** Returns whether the failed submission was one of this duty. */
  boolean failed(RequestId id) {
    return open.remove(id);
  }

  private static SendToPeer tell(HostId peer, IdempotencyMessage message) {
    return new SendToPeer(peer, new PeerMessage.Idempotency(message));
  }
}
