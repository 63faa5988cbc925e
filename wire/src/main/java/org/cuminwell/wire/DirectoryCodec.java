package org.cuminwell.wire;

import java.util.stream.Collectors;
import org.cuminwell.core.directory.DirectoryMessage;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.wire.generated.Address;

/**
 * Maps messages about entry hosts to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class DirectoryCodec {

  private DirectoryCodec() {}

  static org.cuminwell.wire.generated.DirectoryMessage toProto(DirectoryMessage from) {
    var to = org.cuminwell.wire.generated.DirectoryMessage.newBuilder();
    switch (from) {
      case DirectoryMessage.GatewayHello gatewayHello -> to.setHere(toProto(gatewayHello.host()));
      case DirectoryMessage.ControlHello here ->
          to.getControlHereBuilder()
              .addAllControl(
                  here.controlAddresses().stream().sorted().map(DirectoryCodec::toProto).toList());
      case DirectoryMessage.Hosts all -> {
        var hosts = org.cuminwell.wire.generated.DirectoryMessage.Hosts.newBuilder();
        all.hosts().forEach(host -> hosts.addHost(toProto(host)));
        all.removed().forEach(host -> hosts.addGone(host.value()));
        to.setHosts(hosts);
      }
    }
    return to.build();
  }

  static DirectoryMessage fromProto(org.cuminwell.wire.generated.DirectoryMessage from) {
    return switch (from.getKindCase()) {
      case HERE -> new DirectoryMessage.GatewayHello(fromProto(from.getHere()));
      case HOSTS ->
          new DirectoryMessage.Hosts(
              from.getHosts().getHostList().stream().map(DirectoryCodec::fromProto).toList(),
              from.getHosts().getGoneList().stream().map(HostId::new).toList());
      case CONTROL_HERE ->
          new DirectoryMessage.ControlHello(
              from.getControlHere().getControlList().stream()
                  .map(DirectoryCodec::fromProto)
                  .collect(Collectors.toUnmodifiableSet()));
      case KIND_NOT_SET -> throw new IllegalArgumentException("directory message without a kind");
    };
  }

  static Address toProto(HostAddress from) {
    return Address.newBuilder().setHost(from.host()).setPort(from.port()).build();
  }

  static HostAddress fromProto(Address from) {
    return new HostAddress(from.getHost(), from.getPort());
  }

  static org.cuminwell.wire.generated.Place toProto(Place from) {
    return org.cuminwell.wire.generated.Place.newBuilder()
        .setRegion(from.region().value())
        .setDataCentre(from.dataCentre().value())
        .build();
  }

  static Place fromProto(org.cuminwell.wire.generated.Place from) {
    return new Place(new RegionId(from.getRegion()), new DataCentreId(from.getDataCentre()));
  }

  private static org.cuminwell.wire.generated.HostDescription toProto(HostDescription from) {
    return org.cuminwell.wire.generated.HostDescription.newBuilder()
        .setId(from.id().value())
        .setPlace(toProto(from.place()))
        .setCallers(toProto(from.callerAddress()))
        .setInner(toProto(from.internalAddress()))
        .setPeer(toProto(from.peerAddress()))
        .setLoad(from.load())
        .setStopping(from.stopping())
        .build();
  }

  private static HostDescription fromProto(org.cuminwell.wire.generated.HostDescription from) {
    return new HostDescription(
        new HostId(from.getId()),
        fromProto(from.getPlace()),
        fromProto(from.getCallers()),
        fromProto(from.getInner()),
        fromProto(from.getPeer()),
        from.getLoad(),
        from.getStopping());
  }
}
