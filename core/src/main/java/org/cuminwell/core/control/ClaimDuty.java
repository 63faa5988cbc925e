package org.cuminwell.core.control;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cuminwell.core.control.ControlAction.TellPeer;
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
    actions.add(tell(peer, new IdempotencyMessage.Led(submissions.leader(now))));
  }

  void hear(IdempotencyMessage message, Instant now) {
    switch (message) {
      case IdempotencyMessage.Asked asked -> {
        RequestId id = submissions.nextId(now);
        open.add(id);
        submissions.submit(id, new Command.ChangeClaim(asked.change()), now);
      }
      case IdempotencyMessage.Answered m -> {}
      case IdempotencyMessage.Led m -> {}
    }
  }

  /** Passes the answer on to the gateway that made the claim. */
  void answered(RequestId id, ClaimId claim, ClaimAnswer answer, List<ControlAction> actions) {
    open.remove(id);
    actions.add(tell(claim.gateway(), new IdempotencyMessage.Answered(claim, answer)));
  }

  /** Returns whether the failed submission was one of this duty. */
  boolean failed(RequestId id) {
    return open.remove(id);
  }

  private static TellPeer tell(HostId peer, IdempotencyMessage message) {
    return new TellPeer(peer, new PeerMessage.Idempotency(message));
  }
}
