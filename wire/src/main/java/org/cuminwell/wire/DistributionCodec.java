package org.cuminwell.wire;

import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.wire.generated.DistributionMessage.Confirmed;
import org.cuminwell.wire.generated.DistributionMessage.Difference;
import org.cuminwell.wire.generated.DistributionMessage.Held;
import org.cuminwell.wire.generated.DistributionMessage.HostHeld;

/**
 * Maps messages about the configuration to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class DistributionCodec {

  private DistributionCodec() {}

  static org.cuminwell.wire.generated.DistributionMessage toProto(DistributionMessage from) {
    var to = org.cuminwell.wire.generated.DistributionMessage.newBuilder();
    switch (from) {
      case DistributionMessage.Full full ->
          to.setFull(ConfigurationCodec.toProto(full.configuration()));
      case DistributionMessage.Difference difference -> to.setDifference(toProto(difference));
      case DistributionMessage.Held held -> to.setHeld(held(held.revision()));
      case DistributionMessage.Ask ask -> to.setAsk(held(ask.held()));
      case DistributionMessage.Confirmed confirmed -> to.setConfirmed(toProto(confirmed));
      case DistributionMessage.AskCurrent ask ->
          to.getAskCurrentBuilder().setAskedAtMicros(WireTime.micros(ask.askedAt()));
      case DistributionMessage.Current current ->
          to.getCurrentBuilder()
              .setAskedAtMicros(WireTime.micros(current.askedAt()))
              .setRevision(current.revision().value());
    }
    return to.build();
  }

  static DistributionMessage fromProto(org.cuminwell.wire.generated.DistributionMessage from) {
    return switch (from.getKindCase()) {
      case FULL -> new DistributionMessage.Full(ConfigurationCodec.fromProto(from.getFull()));
      case HELD -> new DistributionMessage.Held(new Revision(from.getHeld().getRevision()));
      case DIFFERENCE ->
          new DistributionMessage.Difference(
              new Revision(from.getDifference().getFrom()),
              from.getDifference().getChangeList().stream()
                  .map(ConfigurationCodec::fromProto)
                  .toList());
      case ASK -> new DistributionMessage.Ask(new Revision(from.getAsk().getRevision()));
      case CONFIRMED ->
          new DistributionMessage.Confirmed(
              from.getConfirmed().getHeldList().stream()
                  .collect(
                      Collectors.toMap(
                          held -> new HostId(held.getHost()),
                          held -> new Revision(held.getRevision()),
                          (first, second) -> second)));
      case ASK_CURRENT ->
          new DistributionMessage.AskCurrent(
              WireTime.instant(from.getAskCurrent().getAskedAtMicros()));
      case CURRENT ->
          new DistributionMessage.Current(
              WireTime.instant(from.getCurrent().getAskedAtMicros()),
              new Revision(from.getCurrent().getRevision()));
      case KIND_NOT_SET ->
          throw new IllegalArgumentException("distribution message without a kind");
    };
  }

  private static Held.Builder held(Revision revision) {
    return Held.newBuilder().setRevision(revision.value());
  }

  private static Difference toProto(DistributionMessage.Difference from) {
    var to = Difference.newBuilder().setFrom(from.from().value());
    from.changes().forEach(change -> to.addChange(ConfigurationCodec.toProto(change)));
    return to.build();
  }

  private static Confirmed toProto(DistributionMessage.Confirmed from) {
    var to = Confirmed.newBuilder();
    new TreeMap<>(from.held())
        .forEach(
            (host, revision) ->
                to.addHeld(
                    HostHeld.newBuilder().setHost(host.value()).setRevision(revision.value())));
    return to.build();
  }
}
