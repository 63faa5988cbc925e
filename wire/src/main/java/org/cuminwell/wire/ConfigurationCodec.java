package org.cuminwell.wire;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.Region;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.model.RolloutBounds;
import org.cuminwell.core.model.Route;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.core.model.RouteRollout;
import org.cuminwell.core.model.Service;
import org.cuminwell.core.model.TokenLimit;
import org.cuminwell.core.model.VersionId;
import org.cuminwell.wire.generated.ModelService;
import org.cuminwell.wire.generated.PlainService;

/**
 * Maps configurations to protobuf and back.
 *
 * <p>Equal values give equal bytes: everything is written in the order of names. Methods that read
 * throw {@link IllegalArgumentException} for values that the core refuses. Stateless and thread
 * safe.
 */
public final class ConfigurationCodec {

  private ConfigurationCodec() {}

  /** Returns the message for a configuration. */
  public static org.cuminwell.wire.generated.Configuration toProto(Configuration from) {
    var to = org.cuminwell.wire.generated.Configuration.newBuilder();
    to.setRevision(from.revision().value());
    sorted(from.customers()).forEach(customer -> to.addCustomer(toProto(customer)));
    sorted(from.routes()).forEach(route -> to.addRoute(toProto(route)));
    sorted(from.regions()).forEach(region -> to.addRegion(toProto(region)));
    sorted(from.rollouts()).forEach(routeRollout -> to.addRollout(toProto(routeRollout)));
    to.setForwarding(ForwardingCodec.toProto(from.forwarding()));
    return to.build();
  }

  /** Returns the configuration that a message carries. */
  public static Configuration fromProto(org.cuminwell.wire.generated.Configuration from) {
    return new Configuration(
        new Revision(from.getRevision()),
        byId(from.getCustomerList(), ConfigurationCodec::fromProto, Customer::id),
        byId(from.getRouteList(), ConfigurationCodec::fromProto, Route::id),
        byId(from.getRegionList(), ConfigurationCodec::fromProto, Region::id),
        byId(from.getRolloutList(), ConfigurationCodec::fromProto, RouteRollout::route),
        ForwardingCodec.fromProto(from.getForwarding()));
  }

  /** Returns the message for a change. */
  public static org.cuminwell.wire.generated.ConfigurationChange toProto(ConfigurationChange from) {
    var to = org.cuminwell.wire.generated.ConfigurationChange.newBuilder();
    write(from.customers(), c -> to.addCustomer(toProto(c)), to::addRemovedCustomer);
    write(from.routes(), r -> to.addRoute(toProto(r)), to::addRemovedRoute);
    write(from.regions(), r -> to.addRegion(toProto(r)), to::addRemovedRegion);
    write(from.rollouts(), r -> to.addRollout(toProto(r)), to::addRemovedRollout);
    if (!from.forwarding().isEmpty()) {
      to.setForwarding(ForwardingCodec.toProto(from.forwarding()));
    }
    return to.build();
  }

  /** Returns the change that a message carries. */
  public static ConfigurationChange fromProto(
      org.cuminwell.wire.generated.ConfigurationChange from) {
    return new ConfigurationChange(
        changes(
            byId(from.getCustomerList(), ConfigurationCodec::fromProto, Customer::id),
            from.getRemovedCustomerList(),
            CustomerId::new),
        changes(
            byId(from.getRouteList(), ConfigurationCodec::fromProto, Route::id),
            from.getRemovedRouteList(),
            RouteId::new),
        changes(
            byId(from.getRegionList(), ConfigurationCodec::fromProto, Region::id),
            from.getRemovedRegionList(),
            RegionId::new),
        changes(
            byId(from.getRolloutList(), ConfigurationCodec::fromProto, RouteRollout::route),
            from.getRemovedRolloutList(),
            RouteId::new),
        ForwardingCodec.fromProto(from.getForwarding()));
  }

  private static org.cuminwell.wire.generated.Customer toProto(Customer from) {
    return org.cuminwell.wire.generated.Customer.newBuilder()
        .setId(from.id().value())
        .addAllKeyHash(names(from.keys(), KeyHash::hex))
        .setTokensPerSecond(from.limit().tokensPerSecond())
        .setBurstTokens(from.limit().burstTokens())
        .addAllBoundTo(names(from.boundTo(), RegionId::value))
        .setRank(from.rank())
        .setTokensOfPlainCall(from.tokensPerPlainCall())
        .build();
  }

  private static Customer fromProto(org.cuminwell.wire.generated.Customer from) {
    return new Customer(
        new CustomerId(from.getId()),
        set(from.getKeyHashList(), KeyHash::new),
        new TokenLimit(from.getTokensPerSecond(), from.getBurstTokens()),
        set(from.getBoundToList(), RegionId::new),
        from.getRank(),
        from.getTokensOfPlainCall());
  }

  private static org.cuminwell.wire.generated.Route toProto(Route from) {
    var to =
        org.cuminwell.wire.generated.Route.newBuilder()
            .setId(from.id().value())
            .addAllBoundTo(names(from.boundTo(), RegionId::value))
            .setOpenAs(from.anonymousCustomer().map(CustomerId::value).orElse(""))
            .setTimeoutMillis(from.timeout().toMillis());
    switch (from.service()) {
      case Service.Model model -> to.setModel(ModelService.newBuilder().setName(model.name()));
      case Service.Plain plain ->
          to.setPlain(
              PlainService.newBuilder()
                  .setName(plain.name())
                  .addAllRepeatableMethod(new TreeSet<>(plain.idempotentMethods())));
    }
    return to.build();
  }

  private static Route fromProto(org.cuminwell.wire.generated.Route from) {
    return new Route(
        new RouteId(from.getId()),
        service(from),
        set(from.getBoundToList(), RegionId::new),
        Optional.of(from.getOpenAs()).filter(id -> !id.isEmpty()).map(CustomerId::new),
        Duration.ofMillis(from.getTimeoutMillis()));
  }

  private static Service service(org.cuminwell.wire.generated.Route from) {
    return switch (from.getServiceCase()) {
      case MODEL -> new Service.Model(from.getModel().getName());
      case PLAIN ->
          new Service.Plain(
              from.getPlain().getName(), Set.copyOf(from.getPlain().getRepeatableMethodList()));
      case SERVICE_NOT_SET ->
          throw new IllegalArgumentException("route " + from.getId() + " has no service");
    };
  }

  private static org.cuminwell.wire.generated.Region toProto(Region from) {
    return org.cuminwell.wire.generated.Region.newBuilder()
        .setId(from.id().value())
        .addAllDataCentre(names(from.dataCentres(), DataCentreId::value))
        .build();
  }

  private static Region fromProto(org.cuminwell.wire.generated.Region from) {
    return new Region(new RegionId(from.getId()), set(from.getDataCentreList(), DataCentreId::new));
  }

  static org.cuminwell.wire.generated.Rollout toProto(RouteRollout from) {
    return org.cuminwell.wire.generated.Rollout.newBuilder()
        .setRoute(from.route().value())
        .setFromVersion(from.from().value())
        .setToVersion(from.to().value())
        .setDeadlineMillis(from.deadline().toEpochMilli())
        .setFirstShare(from.bounds().firstShare())
        .setMaxFailureRise(from.bounds().maxFailureRise())
        .setMaxSlowdown(from.bounds().maxSlowdown())
        .build();
  }

  static RouteRollout fromProto(org.cuminwell.wire.generated.Rollout from) {
    return new RouteRollout(
        new RouteId(from.getRoute()),
        new VersionId(from.getFromVersion()),
        new VersionId(from.getToVersion()),
        Instant.ofEpochMilli(from.getDeadlineMillis()),
        new RolloutBounds(from.getFirstShare(), from.getMaxFailureRise(), from.getMaxSlowdown()));
  }

  static <K extends Comparable<K>, V> Collection<V> sorted(Map<K, V> map) {
    return new TreeMap<>(map).values();
  }

  static <T> Set<String> names(Set<T> values, Function<T, String> name) {
    return values.stream().map(name).collect(Collectors.toCollection(TreeSet::new));
  }

  static <T> Set<T> set(List<String> names, Function<String, T> make) {
    return names.stream().map(make).collect(Collectors.toUnmodifiableSet());
  }

  static <P, K, V> Map<K, V> byId(List<P> messages, Function<P, V> read, Function<V, K> id) {
    return messages.stream().map(read).collect(Collectors.toUnmodifiableMap(id, v -> v));
  }

  static <K extends Comparable<K>, V> void write(
      Map<K, Optional<V>> changes, Consumer<V> put, Consumer<String> remove) {
    new TreeMap<>(changes)
        .forEach((id, value) -> value.ifPresentOrElse(put, () -> remove.accept(id.toString())));
  }

  static <K, V> Map<K, Optional<V>> changes(
      Map<K, V> put, List<String> removed, Function<String, K> id) {
    Map<K, Optional<V>> changes =
        put.entrySet().stream()
            .collect(Collectors.toMap(Map.Entry::getKey, e -> Optional.of(e.getValue())));
    removed.forEach(name -> changes.put(id.apply(name), Optional.empty()));
    return changes;
  }
}
