package org.cuminwell.wire;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.config.Forwarding;
import org.cuminwell.core.model.CallerLimits;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.ForwardRoute;
import org.cuminwell.core.model.ForwardService;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.RetrySemantics;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.rollout.ServiceRolloutState;
import org.cuminwell.wire.generated.Evacuated;
import org.cuminwell.wire.generated.ForwardingChange;

/**
 * Maps the part of configurations about forwarded requests to protobuf and back. Methods that read
 * throw {@link IllegalArgumentException} for values that the core refuses. Stateless and thread
 * safe.
 */
final class ForwardingCodec {

  private ForwardingCodec() {}

  static org.cuminwell.wire.generated.Forwarding toProto(Forwarding from) {
    var to = org.cuminwell.wire.generated.Forwarding.newBuilder();
    ConfigurationCodec.sorted(from.routes()).forEach(route -> to.addRoute(toProto(route)));
    ConfigurationCodec.sorted(from.services()).forEach(service -> to.addService(toProto(service)));
    ConfigurationCodec.sorted(from.serviceRollouts())
        .forEach(m -> to.addMove(RolloutCodec.toProto(m)));
    return to.setLimits(toProto(from.limits())).setEvacuated(toProto(from.evacuated())).build();
  }

  static Forwarding fromProto(org.cuminwell.wire.generated.Forwarding from) {
    return new Forwarding(
        ConfigurationCodec.byId(from.getRouteList(), ForwardingCodec::fromProto, ForwardRoute::id),
        ConfigurationCodec.byId(
            from.getServiceList(), ForwardingCodec::fromProto, ForwardService::name),
        from.hasLimits() ? fromProto(from.getLimits()) : CallerLimits.DEFAULT,
        fromProto(from.getEvacuated()),
        moves(from.getMoveList()));
  }

  private static Map<String, ServiceRolloutState> moves(
      List<org.cuminwell.wire.generated.ServiceMoves> from) {
    return ConfigurationCodec.byId(
        from, RolloutCodec::fromProto, moves -> RolloutCodec.service(moves.last().rollout()));
  }

  static ForwardingChange toProto(Forwarding.Change from) {
    var to = ForwardingChange.newBuilder();
    ConfigurationCodec.write(from.routes(), r -> to.addRoute(toProto(r)), to::addRemovedRoute);
    ConfigurationCodec.write(
        from.services(), s -> to.addService(toProto(s)), to::addRemovedService);
    from.limits().ifPresent(limits -> to.setLimits(toProto(limits)));
    from.evacuated().ifPresent(evacuated -> to.setEvacuated(toProto(evacuated)));
    ConfigurationCodec.write(
        from.serviceRollouts(),
        moves -> to.addMove(RolloutCodec.toProto(moves)),
        to::addRemovedMove);
    return to.build();
  }

  static Forwarding.Change fromProto(ForwardingChange from) {
    Map<RouteId, ForwardRoute> routes =
        ConfigurationCodec.byId(from.getRouteList(), ForwardingCodec::fromProto, ForwardRoute::id);
    Map<String, ForwardService> services =
        ConfigurationCodec.byId(
            from.getServiceList(), ForwardingCodec::fromProto, ForwardService::name);
    return new Forwarding.Change(
        ConfigurationCodec.changes(routes, from.getRemovedRouteList(), RouteId::new),
        ConfigurationCodec.changes(services, from.getRemovedServiceList(), name -> name),
        from.hasLimits() ? Optional.of(fromProto(from.getLimits())) : Optional.empty(),
        from.hasEvacuated() ? Optional.of(fromProto(from.getEvacuated())) : Optional.empty(),
        ConfigurationCodec.changes(
            moves(from.getMoveList()), from.getRemovedMoveList(), name -> name));
  }

  private static org.cuminwell.wire.generated.ForwardRoute toProto(ForwardRoute from) {
    var to =
        org.cuminwell.wire.generated.ForwardRoute.newBuilder()
            .setId(from.id().value())
            .setHost(from.host())
            .setPathPrefix(from.pathPrefix())
            .setRepeat(from.retrySemantics().label())
            .setTimeoutMillis(from.timeout().toMillis())
            .setLatencyTargetMillis(from.latencyTarget().toMillis())
            .setRank(from.rank())
            .setMaxAttempts(from.maxAttempts())
            .setAnonymous(from.anonymous())
            .setCachesPrompts(from.cachesPrompts())
            .addAllBoundTo(ConfigurationCodec.names(from.boundTo(), RegionId::value));
    from.split()
        .forEach(part -> to.addSplitBuilder().setService(part.service()).setWeight(part.weight()));
    return to.build();
  }

  private static ForwardRoute fromProto(org.cuminwell.wire.generated.ForwardRoute from) {
    return new ForwardRoute(
        new RouteId(from.getId()),
        from.getHost(),
        from.getPathPrefix(),
        RetrySemantics.fromLabel(from.getRepeat()),
        Duration.ofMillis(from.getTimeoutMillis()),
        Duration.ofMillis(from.getLatencyTargetMillis()),
        from.getRank(),
        from.getSplitList().stream()
            .map(part -> new ForwardRoute.WeightedService(part.getService(), part.getWeight()))
            .toList(),
        from.getMaxAttempts(),
        from.getAnonymous(),
        from.getCachesPrompts(),
        ConfigurationCodec.set(from.getBoundToList(), RegionId::new));
  }

  private static org.cuminwell.wire.generated.ForwardService toProto(ForwardService from) {
    return org.cuminwell.wire.generated.ForwardService.newBuilder()
        .setName(from.name())
        .setHealthPath(from.healthPath())
        .setMaxConnections(from.maxConnections())
        .setColdMillis(from.slowStartPeriod().toMillis())
        .setColdPerSecond(from.slowStartRequestsPerSecond())
        .build();
  }

  private static ForwardService fromProto(org.cuminwell.wire.generated.ForwardService from) {
    return new ForwardService(
        from.getName(),
        from.getHealthPath(),
        from.getMaxConnections(),
        Duration.ofMillis(from.getColdMillis()),
        from.getColdPerSecond());
  }

  private static org.cuminwell.wire.generated.CallerLimits toProto(CallerLimits from) {
    return org.cuminwell.wire.generated.CallerLimits.newBuilder()
        .setMaxHeaderBytes(from.maxHeaderBytes())
        .setMaxBodyBytes(from.maxBodyBytes())
        .setHeaderTimeoutMillis(from.headerTimeout().toMillis())
        .setIdleTimeoutMillis(from.idleTimeout().toMillis())
        .build();
  }

  private static CallerLimits fromProto(org.cuminwell.wire.generated.CallerLimits from) {
    return new CallerLimits(
        from.getMaxHeaderBytes(),
        from.getMaxBodyBytes(),
        Duration.ofMillis(from.getHeaderTimeoutMillis()),
        Duration.ofMillis(from.getIdleTimeoutMillis()));
  }

  private static Evacuated toProto(Set<DataCentreId> from) {
    Evacuated.Builder to = Evacuated.newBuilder();
    new TreeSet<>(from).forEach(id -> to.addDataCentre(id.value()));
    return to.build();
  }

  private static Set<DataCentreId> fromProto(Evacuated from) {
    return ConfigurationCodec.set(from.getDataCentreList(), DataCentreId::new);
  }
}
