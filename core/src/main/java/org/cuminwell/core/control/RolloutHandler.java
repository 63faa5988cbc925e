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
 * Advances rollouts while this control host leads, and sends the recorded steps to gateways.
 *
 * <p>Only the leader sends steps, because each such message renews the gateways' traffic shares. A
 * host that was partitioned must not renew a share that has since been revoked. Not thread safe:
 * the thread of its {@link Control} owns it.
 */
final class RolloutHandler {

  /** How often the steps of open rollouts are sent to gateways, which renews their shares. */
  private static final Duration RENEW_INTERVAL = Duration.ofMillis(500);

  private final RolloutController controller = new RolloutController();
  private final InternalSubmissions submissions;
  private final ReplicatedState state;
  private final Map<RequestId, RolloutAdvance> pending = new HashMap<>();
  private List<RolloutProgress> sentSteps = List.of();
  private Instant sentAt = Instant.EPOCH;

  RolloutHandler(InternalSubmissions submissions, ReplicatedState state) {
    this.submissions = submissions;
    this.state = state;
  }

  void onMessage(RolloutMessage message, Instant now) {
    switch (message) {
      case RolloutMessage.Report report -> controller.recordReport(report, now);
      case RolloutMessage.Steps steps -> {}
    }
  }

  /** Submits the steps that are due and sends recorded steps to the connected {@code gateways}. */
  void onTick(
      boolean leads, Collection<HostId> gateways, Instant now, List<ControlAction> actions) {
    if (!leads) {
      sentSteps = List.of();
      return;
    }
    Configuration configuration = state.configuration();
    submit(
        controller.nextRouteSteps(configuration.rollouts().values(), state.routeRollouts(), now),
        now);
    submit(
        controller.nextServiceSteps(configuration.forwarding().serviceRollouts().values(), now),
        now);
    List<RolloutProgress> steps = state.routeRollouts().latestSteps();
    boolean due =
        state.routeRollouts().hasUnfinished() && !now.isBefore(sentAt.plus(RENEW_INTERVAL));
    if (due || !steps.equals(sentSteps)) {
      sentSteps = steps;
      sentAt = now;
      gateways.forEach(gateway -> actions.add(stepsMessage(gateway)));
    }
  }

  private void submit(List<RolloutAdvance> steps, Instant now) {
    for (RolloutAdvance advance : steps) {
      if (!isPending(advance)) {
        RequestId id = submissions.nextId(now);
        pending.put(id, advance);
        submissions.submit(id, new Command.AdvanceRollout(advance), now);
      }
    }
  }

  /** Sends the current steps to a newly connected peer if this host leads. */
  void onPeerConnected(HostId gateway, boolean leads, List<ControlAction> actions) {
    if (leads) {
      actions.add(stepsMessage(gateway));
    }
  }

  /** Removes an answered submission and returns whether it was made by this handler. */
  boolean removeAnswered(RequestId id) {
    return pending.remove(id) != null;
  }

  private boolean isPending(RolloutAdvance advance) {
    return pending.values().stream()
        .anyMatch(
            other -> other.rollout().equals(advance.rollout()) && other.step() == advance.step());
  }

  private SendToPeer stepsMessage(HostId gateway) {
    return new SendToPeer(
        gateway,
        new PeerMessage.Rollouts(new RolloutMessage.Steps(state.routeRollouts().latestSteps())));
  }
}
