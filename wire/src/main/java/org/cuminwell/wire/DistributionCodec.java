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
      case DistributionMessage.RevisionInForce revisionInForce ->
          to.setHeld(held(revisionInForce.revision()));
      case DistributionMessage.ChangesRequest changesRequest ->
          to.setAsk(held(changesRequest.revisionInForce()));
      case DistributionMessage.ConfirmedRevisions confirmedRevisions ->
          to.setConfirmed(toProto(confirmedRevisions));
      case DistributionMessage.LatestRevisionRequest ask ->
          to.getAskCurrentBuilder().setAskedAtMicros(WireTime.micros(ask.askedAt()));
      case DistributionMessage.LatestRevision latestRevision ->
          to.getCurrentBuilder()
              .setAskedAtMicros(WireTime.micros(latestRevision.askedAt()))
              .setRevision(latestRevision.revision().value());
    }
    return to.build();
  }

  static DistributionMessage fromProto(org.cuminwell.wire.generated.DistributionMessage from) {
    return switch (from.getKindCase()) {
      case FULL -> new DistributionMessage.Full(ConfigurationCodec.fromProto(from.getFull()));
      case HELD ->
          new DistributionMessage.RevisionInForce(new Revision(from.getHeld().getRevision()));
      case DIFFERENCE ->
          new DistributionMessage.Difference(
              new Revision(from.getDifference().getFrom()),
              from.getDifference().getChangeList().stream()
                  .map(ConfigurationCodec::fromProto)
                  .toList());
      case ASK -> new DistributionMessage.ChangesRequest(new Revision(from.getAsk().getRevision()));
      case CONFIRMED ->
          new DistributionMessage.ConfirmedRevisions(
              from.getConfirmed().getHeldList().stream()
                  .collect(
                      Collectors.toMap(
                          held -> new HostId(held.getHost()),
                          held -> new Revision(held.getRevision()),
                          (first, second) -> second)));
      case ASK_CURRENT ->
          new DistributionMessage.LatestRevisionRequest(
              WireTime.instant(from.getAskCurrent().getAskedAtMicros()));
      case CURRENT ->
          new DistributionMessage.LatestRevision(
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

  private static Confirmed toProto(DistributionMessage.ConfirmedRevisions from) {
    var to = Confirmed.newBuilder();
    new TreeMap<>(from.revisions())
        .forEach(
            (host, revision) ->
                to.addHeld(
                    HostHeld.newBuilder().setHost(host.value()).setRevision(revision.value())));
    return to.build();
  }
}
