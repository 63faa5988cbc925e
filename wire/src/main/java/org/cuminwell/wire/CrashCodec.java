package org.cuminwell.wire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.crash.CrashRecord;
import org.cuminwell.core.crash.CrashUpdate;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.crash.Suspension;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.wire.generated.CrashMessage;
import org.cuminwell.wire.generated.CrashMessage.Crash;
import org.cuminwell.wire.generated.CrashMessage.SuspendedTrait;
import org.cuminwell.wire.generated.CrashMessage.Traits;

/**
 * Maps evidence on crashes to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class CrashCodec {

  private CrashCodec() {}

  static CrashMessage toProto(CrashUpdate from) {
    var to = CrashMessage.newBuilder();
    from.crashes().forEach(crash -> to.addCrash(toProto(crash)));
    from.suspensions().forEach(aged -> to.addSuspended(toProto(aged)));
    return to.build();
  }

  static CrashUpdate fromProto(CrashMessage from) {
    List<CrashRecord> crashes = from.getCrashList().stream().map(CrashCodec::fromProto).toList();
    List<CrashUpdate.Aged> suspensions =
        from.getSuspendedList().stream().map(CrashCodec::fromProto).toList();
    return new CrashUpdate(crashes, suspensions);
  }

  private static Crash toProto(CrashRecord from) {
    var to =
        Crash.newBuilder()
            .setEndpoint(from.endpoint().endpoint().value())
            .setIncarnation(from.endpoint().incarnation())
            .setService(from.service())
            .setSuspects(toProto(from.suspects()))
            .setCleared(toProto(from.cleared()))
            .setRefuted(from.refuted());
    from.lostAttempts().forEach((gateway, count) -> to.putLost(gateway.value(), count));
    return to.build();
  }

  private static CrashRecord fromProto(Crash from) {
    Map<HostId, Integer> lost =
        from.getLostMap().entrySet().stream()
            .collect(Collectors.toMap(entry -> new HostId(entry.getKey()), Map.Entry::getValue));
    return new CrashRecord(
        new EndpointIncarnation(new EndpointId(from.getEndpoint()), from.getIncarnation()),
        from.getService(),
        lost,
        fromProto(from.getSuspects()),
        fromProto(from.getCleared()),
        from.getRefuted());
  }

  private static SuspendedTrait toProto(CrashUpdate.Aged from) {
    return SuspendedTrait.newBuilder()
        .setTrait(toProto(List.of(from.suspension().trait())))
        .setStrikes(from.suspension().strikes())
        .setLifted(from.suspension().lifted())
        .setAgeMillis(from.age().toMillis())
        .build();
  }

  private static CrashUpdate.Aged fromProto(SuspendedTrait from) {
    List<Trait> traits = List.copyOf(fromProto(from.getTrait()));
    if (traits.size() != 1) {
      throw new IllegalArgumentException("a suspension must name one trait");
    }
    return new CrashUpdate.Aged(
        new Suspension(traits.getFirst(), from.getStrikes(), from.getLifted()),
        Duration.ofMillis(from.getAgeMillis()));
  }

  private static Traits toProto(Collection<Trait> from) {
    var to = Traits.newBuilder();
    for (Trait trait : from) {
      switch (trait) {
        case Trait.Content t -> to.addContent(t.digest());
        case Trait.SharedPart t -> to.addSharedPart(t.digest());
      }
    }
    return to.build();
  }

  private static Set<Trait> fromProto(Traits from) {
    List<Trait> traits = new ArrayList<>();
    from.getContentList().forEach(digest -> traits.add(new Trait.Content(digest)));
    from.getSharedPartList().forEach(digest -> traits.add(new Trait.SharedPart(digest)));
    return new HashSet<>(traits);
  }
}
