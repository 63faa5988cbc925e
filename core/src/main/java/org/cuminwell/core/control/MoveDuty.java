package org.cuminwell.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.control.ControlAction.SendToPeer;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutController;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;

/**
 * Carries out version rollouts while this control host leads, and tells gateways the recorded
 * steps.
 *
 * <p>Only the leader tells steps, since each telling renews the shares of gateways: a host that was
 * cut off must not renew a share that has been taken back. Not thread safe: the thread of its
 * {@link Control} owns it.
 */
final class MoveDuty {

  /** How often gateways are told the steps of open moves, which renews their shares. */
  private static final Duration PERIOD = Duration.ofMillis(500);

  private final RolloutController controller = new RolloutController();
  private final Submissions submissions;
  private final ReplicatedState state;
  private final Map<RequestId, RolloutAdvance> open = new HashMap<>();
  private List<RolloutProgress> told = List.of();
  private Instant toldAt = Instant.EPOCH;

  MoveDuty(Submissions submissions, ReplicatedState state) {
    this.submissions = submissions;
    this.state = state;
  }

  void hear(RolloutMessage message, Instant now) {
    switch (message) {
      case RolloutMessage.Report report -> controller.recordReport(report, now);
      case RolloutMessage.Steps steps -> {}
    }
  }

  /** Does what is due; {@code gateways} are those in contact. */
  void step(boolean leads, Collection<HostId> gateways, Instant now, List<ControlAction> actions) {
    if (!leads) {
      told = List.of();
      return;
    }
    Configuration configuration = state.configuration();
    submit(controller.nextRouteSteps(configuration.rollouts().values(), state.moves(), now), now);
    submit(
        controller.nextServiceSteps(configuration.forwarding().serviceRollouts().values(), now),
        now);
    List<RolloutProgress> moves = state.moves().latestSteps();
    boolean due = state.moves().hasUnfinished() && !now.isBefore(toldAt.plus(PERIOD));
    if (due || !moves.equals(told)) {
      told = moves;
      toldAt = now;
      gateways.forEach(gateway -> actions.add(steps(gateway)));
    }
  }

  private void submit(List<RolloutAdvance> steps, Instant now) {
    for (RolloutAdvance advance : steps) {
      if (!isOpen(advance)) {
        RequestId id = submissions.nextId(now);
        open.put(id, advance);
        submissions.submit(id, new Command.AdvanceRollout(advance), now);
      }
    }
  }

  /** Tells a gateway that has just come what it must know. */
  void greet(HostId gateway, boolean leads, List<ControlAction> actions) {
    if (leads) {
      actions.add(steps(gateway));
    }
  }

  /** Notes that a submission has its answer, and returns whether it was one of this duty. */
  boolean answered(RequestId id) {
    return open.remove(id) != null;
  }

  private boolean isOpen(RolloutAdvance advance) {
    return open.values().stream()
        .anyMatch(
            other -> other.rollout().equals(advance.rollout()) && other.step() == advance.step());
  }

  private SendToPeer steps(HostId gateway) {
    return new SendToPeer(
        gateway, new PeerMessage.Rollouts(new RolloutMessage.Steps(state.moves().latestSteps())));
  }
}
