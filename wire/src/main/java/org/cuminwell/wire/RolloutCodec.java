package org.cuminwell.wire;

import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.rollout.PairCounts;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.VersionEvidence;
import org.cuminwell.wire.generated.RouteReport;

/**
 * Maps version moves to protobuf and back. Methods that read throw {@link IllegalArgumentException}
 * for values that the core refuses. Stateless and thread safe.
 */
final class RolloutCodec {

  private RolloutCodec() {}

  static org.cuminwell.wire.generated.RolloutMessage toProto(RolloutMessage from) {
    var to = org.cuminwell.wire.generated.RolloutMessage.newBuilder();
    switch (from) {
      case RolloutMessage.Steps m -> {
        var steps = to.getStepsBuilder();
        m.moves().forEach(move -> steps.addMove(toProto(move)));
      }
      case RolloutMessage.Report m -> {
        var report =
            to.getReportBuilder().setGateway(m.gateway().value()).setIncarnation(m.incarnation());
        m.routes().forEach(route -> report.addRoute(toProto(route)));
      }
    }
    return to.build();
  }

  static RolloutMessage fromProto(org.cuminwell.wire.generated.RolloutMessage from) {
    return switch (from.getKindCase()) {
      case STEPS ->
          new RolloutMessage.Steps(
              from.getSteps().getMoveList().stream().map(RolloutCodec::fromProto).toList());
      case REPORT ->
          new RolloutMessage.Report(
              new HostId(from.getReport().getGateway()),
              from.getReport().getIncarnation(),
              from.getReport().getRouteList().stream().map(RolloutCodec::fromProto).toList());
      case KIND_NOT_SET -> throw new IllegalArgumentException("rollout message without a kind");
    };
  }

  static org.cuminwell.wire.generated.RolloutAdvance toProto(RolloutAdvance from) {
    return org.cuminwell.wire.generated.RolloutAdvance.newBuilder()
        .setRollout(ConfigurationCodec.toProto(from.rollout()))
        .setStep(from.step())
        .setState(toProto(from.state()))
        .build();
  }

  static RolloutAdvance fromProto(org.cuminwell.wire.generated.RolloutAdvance from) {
    return new RolloutAdvance(
        ConfigurationCodec.fromProto(from.getRollout()),
        from.getStep(),
        fromProto(from.getState()));
  }

  static org.cuminwell.wire.generated.RolloutProgress toProto(RolloutProgress from) {
    return org.cuminwell.wire.generated.RolloutProgress.newBuilder()
        .setLast(toProto(new RolloutAdvance(from.rollout(), from.step(), from.state())))
        .setAtNanos(IdempotencyCodec.nanos(from.at()))
        .build();
  }

  static RolloutProgress fromProto(org.cuminwell.wire.generated.RolloutProgress from) {
    RolloutAdvance last = fromProto(from.getLast());
    return new RolloutProgress(
        last.rollout(), last.step(), last.state(), IdempotencyCodec.instant(from.getAtNanos()));
  }

  private static org.cuminwell.wire.generated.RolloutState toProto(RolloutState from) {
    var to =
        org.cuminwell.wire.generated.RolloutState.newBuilder()
            .setLabel(from.label())
            .setShare(from.share());
    switch (from) {
      case RolloutState.Stuck s -> to.setWhy(s.why());
      case RolloutState.TakenBack s -> to.setWhy(s.why());
      case RolloutState.Starting _,
          RolloutState.Canary _,
          RolloutState.Ramping _,
          RolloutState.Done _ -> {}
    }
    return to.build();
  }

  private static RolloutState fromProto(org.cuminwell.wire.generated.RolloutState from) {
    return switch (from.getLabel()) {
      case "starting" -> new RolloutState.Starting();
      case "canary" -> new RolloutState.Canary(from.getShare());
      case "ramping" -> new RolloutState.Ramping(from.getShare());
      case "stuck" -> new RolloutState.Stuck(from.getShare(), from.getWhy());
      case "done" -> new RolloutState.Done();
      case "taken_back" -> new RolloutState.TakenBack(from.getWhy());
      default -> throw new IllegalArgumentException("unknown rollout state " + from.getLabel());
    };
  }

  private static RouteReport toProto(RolloutMessage.RouteReport from) {
    return RouteReport.newBuilder()
        .setRoute(from.route().value())
        .setStep(from.step())
        .setFailures(toProto(from.seen().failures()))
        .setFirstTokens(toProto(from.seen().firstTokens()))
        .setTokenGaps(toProto(from.seen().tokenGaps()))
        .setNewRequests(from.seen().newRequests())
        .setOldRequests(from.seen().oldRequests())
        .setNewEndpoints(from.newEndpoints())
        .setCut(from.cut())
        .build();
  }

  private static RolloutMessage.RouteReport fromProto(RouteReport from) {
    return new RolloutMessage.RouteReport(
        new RouteId(from.getRoute()),
        from.getStep(),
        new VersionEvidence(
            fromProto(from.getFailures()),
            fromProto(from.getFirstTokens()),
            fromProto(from.getTokenGaps()),
            from.getNewRequests(),
            from.getOldRequests()),
        from.getNewEndpoints(),
        from.getCut());
  }

  private static org.cuminwell.wire.generated.PairCounts toProto(PairCounts from) {
    return org.cuminwell.wire.generated.PairCounts.newBuilder()
        .setNewWorse(from.newWorse())
        .setOldWorse(from.oldWorse())
        .setSame(from.same())
        .build();
  }

  private static PairCounts fromProto(org.cuminwell.wire.generated.PairCounts from) {
    return new PairCounts(from.getNewWorse(), from.getOldWorse(), from.getSame());
  }
}
