package org.cuminwell.wire;

import org.cuminwell.core.limit.LimitMessage;
import org.cuminwell.core.limit.LimitMessage.Allotment;
import org.cuminwell.core.limit.LimitMessage.Demand;
import org.cuminwell.core.limit.LimitMessage.HeldShare;
import org.cuminwell.core.limit.Share;
import org.cuminwell.core.model.CustomerId;

/**
 * Maps messages about shares of limits to protobuf and back. Methods that read throw {@link
 * IllegalArgumentException} for values that the core refuses. Stateless and thread safe.
 */
final class LimitCodec {

  private LimitCodec() {}

  static org.cuminwell.wire.generated.LimitMessage toProto(LimitMessage from) {
    var to = org.cuminwell.wire.generated.LimitMessage.newBuilder();
    switch (from) {
      case LimitMessage.LeaderAnnouncement m -> to.getLeadingBuilder().setEpoch(m.epoch());
      case LimitMessage.Report m -> {
        var report =
            to.getReportBuilder()
                .setEpoch(m.epoch())
                .setSession(m.session())
                .setSequence(m.sequence())
                .setAcknowledged(m.acknowledgedGrant());
        m.demands().forEach(demand -> report.addDemand(toProto(demand)));
        m.heldShares().forEach(heldShare -> report.addHeld(toProto(heldShare)));
      }
      case LimitMessage.Grant m -> {
        var grant =
            to.getGrantBuilder()
                .setEpoch(m.epoch())
                .setSession(m.session())
                .setNumber(m.number())
                .setAnswers(m.answeredSequence())
                .setAdopts(m.adoptsHeldShares());
        m.allotments().forEach(allotment -> grant.addAllotment(toProto(allotment)));
      }
    }
    return to.build();
  }

  static LimitMessage fromProto(org.cuminwell.wire.generated.LimitMessage from) {
    return switch (from.getKindCase()) {
      case LEADING -> new LimitMessage.LeaderAnnouncement(from.getLeading().getEpoch());
      case REPORT -> {
        var report = from.getReport();
        yield new LimitMessage.Report(
            report.getEpoch(),
            report.getSession(),
            report.getSequence(),
            report.getAcknowledged(),
            report.getDemandList().stream().map(LimitCodec::fromProto).toList(),
            report.getHeldList().stream().map(LimitCodec::fromProto).toList());
      }
      case GRANT -> {
        var grant = from.getGrant();
        yield new LimitMessage.Grant(
            grant.getEpoch(),
            grant.getSession(),
            grant.getNumber(),
            grant.getAnswers(),
            grant.getAdopts(),
            grant.getAllotmentList().stream().map(LimitCodec::fromProto).toList());
      }
      case KIND_NOT_SET -> throw new IllegalArgumentException("limit message without a kind");
    };
  }

  private static org.cuminwell.wire.generated.LimitMessage.Held toProto(HeldShare from) {
    return org.cuminwell.wire.generated.LimitMessage.Held.newBuilder()
        .setCustomer(from.customer().value())
        .setTokensPerSecond(from.share().tokensPerSecond())
        .setBurstTokens(from.share().burstTokens())
        .build();
  }

  private static HeldShare fromProto(org.cuminwell.wire.generated.LimitMessage.Held from) {
    return new HeldShare(
        new CustomerId(from.getCustomer()),
        new Share(from.getTokensPerSecond(), from.getBurstTokens()));
  }

  private static org.cuminwell.wire.generated.LimitMessage.Demand toProto(Demand from) {
    return org.cuminwell.wire.generated.LimitMessage.Demand.newBuilder()
        .setCustomer(from.customer().value())
        .setTokensPerSecond(from.tokensPerSecond())
        .setLargestTokens(from.largestTokens())
        .setMissingTokens(from.missingTokens())
        .setReturnedTokens(from.returnedTokens())
        .build();
  }

  private static Demand fromProto(org.cuminwell.wire.generated.LimitMessage.Demand from) {
    return new Demand(
        new CustomerId(from.getCustomer()),
        from.getTokensPerSecond(),
        from.getLargestTokens(),
        from.getMissingTokens(),
        from.getReturnedTokens());
  }

  private static org.cuminwell.wire.generated.LimitMessage.Allotment toProto(Allotment from) {
    return org.cuminwell.wire.generated.LimitMessage.Allotment.newBuilder()
        .setCustomer(from.customer().value())
        .setTokensPerSecond(from.share().tokensPerSecond())
        .setBurstTokens(from.share().burstTokens())
        .setCreditTokens(from.creditTokens())
        .setOverRate(from.overRate())
        .build();
  }

  private static Allotment fromProto(org.cuminwell.wire.generated.LimitMessage.Allotment from) {
    return new Allotment(
        new CustomerId(from.getCustomer()),
        new Share(from.getTokensPerSecond(), from.getBurstTokens()),
        from.getCreditTokens(),
        from.getOverRate());
  }
}
