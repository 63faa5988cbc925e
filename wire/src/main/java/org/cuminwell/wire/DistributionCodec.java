package org.cuminwell.wire;

import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.model.Revision;
import org.cuminwell.wire.generated.DistributionMessage.Held;

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
      case DistributionMessage.Held held ->
          to.setHeld(Held.newBuilder().setRevision(held.revision().value()));
    }
    return to.build();
  }

  static DistributionMessage fromProto(org.cuminwell.wire.generated.DistributionMessage from) {
    return switch (from.getKindCase()) {
      case FULL -> new DistributionMessage.Full(ConfigurationCodec.fromProto(from.getFull()));
      case HELD -> new DistributionMessage.Held(new Revision(from.getHeld().getRevision()));
      case KIND_NOT_SET ->
          throw new IllegalArgumentException("distribution message without a kind");
    };
  }
}
