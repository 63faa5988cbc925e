package org.cuminwell.wire;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RolloutSubject;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.ServiceRollout;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.core.model.VersionRollout;
import org.cuminwell.core.rollout.PairCounts;
import org.cuminwell.core.rollout.RolloutAdvance;
import org.cuminwell.core.rollout.RolloutEvidence;
import org.cuminwell.core.rollout.RolloutMessage;
import org.cuminwell.core.rollout.RolloutOrder;
import org.cuminwell.core.rollout.RolloutProgress;
import org.cuminwell.core.rollout.RolloutState;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.core.rollout.VersionEvidence;
import org.cuminwell.wire.generated.MoveReport;
import org.cuminwell.wire.generated.RouteEvidence;

/**
 * Maps version rollouts to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class RolloutCodec {

  private RolloutCodec() {}

  static org.cuminwell.wire.generated.RolloutMessage toProto(RolloutMessage from) {
    var to = org.cuminwell.wire.generated.RolloutMessage.newBuilder();
    switch (from) {
      case RolloutMessage.Steps m -> {
        var steps = to.getStepsBuilder();
        m.latestSteps().forEach(move -> steps.addMove(toProto(move)));
      }
      case RolloutMessage.Report m -> {
        var report =
            to.getReportBuilder().setGateway(m.gateway().value()).setIncarnation(m.incarnation());
        m.reports().forEach(move -> report.addMove(toProto(move)));
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
              from.getReport().getMoveList().stream().map(RolloutCodec::fromProto).toList());
      case KIND_NOT_SET -> throw new IllegalArgumentException("rollout message without a kind");
    };
  }

  static org.cuminwell.wire.generated.RolloutAdvance toProto(RolloutAdvance from) {
    var to =
        org.cuminwell.wire.generated.RolloutAdvance.newBuilder()
            .setStep(from.step())
            .setState(toProto(from.state()));
    switch (from.rollout()) {
      case RouteRollout routeRollout -> to.setRollout(ConfigurationCodec.toProto(routeRollout));
      case ServiceRollout rollout -> to.setService(toProto(rollout));
    }
    return to.build();
  }

  static RolloutAdvance fromProto(org.cuminwell.wire.generated.RolloutAdvance from) {
    VersionRollout rollout =
        from.hasService()
            ? fromProto(from.getService())
            : ConfigurationCodec.fromProto(from.getRollout());
    return new RolloutAdvance(rollout, from.getStep(), fromProto(from.getState()));
  }

  static org.cuminwell.wire.generated.RolloutOrder toProto(RolloutOrder from) {
    return org.cuminwell.wire.generated.RolloutOrder.newBuilder()
        .setService(from.service())
        .setToVersion(from.to().value())
        .setDurationMillis(from.duration().toMillis())
        .setExposure(toProto(from.exposure()))
        .build();
  }

  /**
   * Reads an order. Earlier builds wrote longer durations than an order may have now, which would
   * keep a journal with such an entry from being applied.
   */
  static RolloutOrder fromProto(org.cuminwell.wire.generated.RolloutOrder from) {
    long maxMillis = RolloutOrder.MAX_DURATION.toMillis();
    return new RolloutOrder(
        from.getService(),
        new VersionId(from.getToVersion()),
        Duration.ofMillis(Math.min(from.getDurationMillis(), maxMillis)),
        fromProto(from.getExposure()));
  }

  static org.cuminwell.wire.generated.ServiceMoves toProto(ServiceRolloutState from) {
    return org.cuminwell.wire.generated.ServiceMoves.newBuilder()
        .setLast(toProto(from.last()))
        .addAllBarredVersion(ConfigurationCodec.names(from.barred(), VersionId::value))
        .build();
  }

  static ServiceRolloutState fromProto(org.cuminwell.wire.generated.ServiceMoves from) {
    return new ServiceRolloutState(
        fromProto(from.getLast()),
        ConfigurationCodec.set(from.getBarredVersionList(), VersionId::new));
  }

  /** Returns the service that is moved. */
  static String service(VersionRollout move) {
    return switch (move) {
      case ServiceRollout rollout -> rollout.service();
      case RouteRollout routeRollout ->
          throw new IllegalArgumentException("route " + routeRollout.route() + " is no service");
    };
  }

  private static org.cuminwell.wire.generated.ServiceRollout toProto(ServiceRollout from) {
    return org.cuminwell.wire.generated.ServiceRollout.newBuilder()
        .setService(from.service())
        .setToVersion(from.to().value())
        .setBeganAtNanos(IdempotencyCodec.nanos(from.startedAt()))
        .setDeadlineNanos(IdempotencyCodec.nanos(from.deadline()))
        .setExposure(toProto(from.exposure()))
        .build();
  }

  private static ServiceRollout fromProto(org.cuminwell.wire.generated.ServiceRollout from) {
    return new ServiceRollout(
        from.getService(),
        new VersionId(from.getToVersion()),
        IdempotencyCodec.instant(from.getBeganAtNanos()),
        IdempotencyCodec.instant(from.getDeadlineNanos()),
        fromProto(from.getExposure()));
  }

  private static org.cuminwell.wire.generated.ExposureBounds toProto(ExposureBounds from) {
    return org.cuminwell.wire.generated.ExposureBounds.newBuilder()
        .setShare(from.share())
        .setSlackRequests(from.slackRequests())
        .build();
  }

  private static ExposureBounds fromProto(org.cuminwell.wire.generated.ExposureBounds from) {
    return new ExposureBounds(from.getShare(), from.getSlackRequests());
  }

  static org.cuminwell.wire.generated.RolloutProgress toProto(RolloutProgress from) {
    return org.cuminwell.wire.generated.RolloutProgress.newBuilder()
        .setLast(toProto(new RolloutAdvance(from.rollout(), from.step(), from.state())))
        .setAtNanos(IdempotencyCodec.nanos(from.recordedAt()))
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

  private static MoveReport toProto(RolloutMessage.MoveReport from) {
    MoveReport.Builder to =
        MoveReport.newBuilder()
            .setToVersion(from.to().value())
            .setStep(from.step())
            .setNewEndpoints(from.newEndpoints())
            .setCut(from.hasStopped());
    switch (from.subject()) {
      case RolloutSubject.OfRoute subject -> to.setRoute(subject.route().value());
      case RolloutSubject.OfService subject -> to.setService(subject.service());
    }
    from.evidence().byRoute().forEach((route, seen) -> to.addSeen(toProto(route, seen)));
    return to.build();
  }

  private static RolloutMessage.MoveReport fromProto(MoveReport from) {
    RolloutSubject subject =
        switch (from.getSubjectCase()) {
          case ROUTE -> new RolloutSubject.OfRoute(new RouteId(from.getRoute()));
          case SERVICE -> new RolloutSubject.OfService(from.getService());
          case SUBJECT_NOT_SET -> throw new IllegalArgumentException("move without a subject");
        };
    Map<RouteId, VersionEvidence> seen = new HashMap<>();
    from.getSeenList().forEach(part -> seen.put(new RouteId(part.getRoute()), fromProto(part)));
    return new RolloutMessage.MoveReport(
        subject,
        new VersionId(from.getToVersion()),
        from.getStep(),
        new RolloutEvidence(seen),
        from.getNewEndpoints(),
        from.getCut());
  }

  private static RouteEvidence toProto(RouteId route, VersionEvidence seen) {
    return RouteEvidence.newBuilder()
        .setRoute(route.value())
        .setFailures(toProto(seen.failures()))
        .setFirstTokens(toProto(seen.firstTokens()))
        .setTokenGaps(toProto(seen.tokenGaps()))
        .setNewRequests(seen.newRequests())
        .setOldRequests(seen.oldRequests())
        .build();
  }

  private static VersionEvidence fromProto(RouteEvidence from) {
    return new VersionEvidence(
        fromProto(from.getFailures()),
        fromProto(from.getFirstTokens()),
        fromProto(from.getTokenGaps()),
        from.getNewRequests(),
        from.getOldRequests());
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
