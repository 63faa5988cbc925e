package org.cuminwell.wire;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cuminwell.core.idempotency.CallOutcome;
import org.cuminwell.core.idempotency.ClaimAnswer;
import org.cuminwell.core.idempotency.ClaimChange;
import org.cuminwell.core.idempotency.ClaimId;
import org.cuminwell.core.idempotency.ClaimKey;
import org.cuminwell.core.idempotency.ClaimRegistry;
import org.cuminwell.core.idempotency.Fingerprint;
import org.cuminwell.core.idempotency.IdempotencyKey;
import org.cuminwell.core.idempotency.IdempotencyMessage;
import org.cuminwell.core.model.Bytes;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;
import org.cuminwell.wire.generated.ClaimAnswer.Empty;
import org.cuminwell.wire.generated.ClaimBookSnapshot;
import org.cuminwell.wire.generated.ClaimOutcome;

/**
 * Maps claims to protobuf and back. Methods that read throw {@link IllegalArgumentException} for
 * values that the core refuses. Stateless and thread safe.
 */
final class IdempotencyCodec {

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private IdempotencyCodec() {}

  static org.cuminwell.wire.generated.IdempotencyMessage toProto(IdempotencyMessage from) {
    var to = org.cuminwell.wire.generated.IdempotencyMessage.newBuilder();
    switch (from) {
      case IdempotencyMessage.ChangeRequest m -> to.setAsked(toProto(m.change()));
      case IdempotencyMessage.ChangeReply m ->
          to.getAnsweredBuilder().setId(toProto(m.id())).setAnswer(toProto(m.answer()));
      case IdempotencyMessage.LeaderUpdate m ->
          to.getLedBuilder().setLeader(m.leader().map(HostId::value).orElse(""));
    }
    return to.build();
  }

  static IdempotencyMessage fromProto(org.cuminwell.wire.generated.IdempotencyMessage from) {
    return switch (from.getKindCase()) {
      case ASKED -> new IdempotencyMessage.ChangeRequest(fromProto(from.getAsked()));
      case ANSWERED ->
          new IdempotencyMessage.ChangeReply(
              fromProto(from.getAnswered().getId()), fromProto(from.getAnswered().getAnswer()));
      case LED ->
          new IdempotencyMessage.LeaderUpdate(
              Optional.of(from.getLed().getLeader()).filter(l -> !l.isEmpty()).map(HostId::new));
      case KIND_NOT_SET -> throw new IllegalArgumentException("idempotency message without a kind");
    };
  }

  static org.cuminwell.wire.generated.ClaimChange toProto(ClaimChange from) {
    var to =
        org.cuminwell.wire.generated.ClaimChange.newBuilder()
            .setCustomer(from.key().customer().value())
            .setRoute(from.key().route().value())
            .setKey(from.key().key().value())
            .setId(toProto(from.id()));
    switch (from) {
      case ClaimChange.Claim c ->
          to.getClaimBuilder()
              .setFingerprint(c.fingerprint().hex())
              .setRunLimitMillis(c.runLimit().toMillis());
      case ClaimChange.Release c ->
          to.setRelease(org.cuminwell.wire.generated.ClaimChange.Release.getDefaultInstance());
      case ClaimChange.Settle c -> to.setSettle(toProto(c.outcome()));
    }
    return to.build();
  }

  static ClaimChange fromProto(org.cuminwell.wire.generated.ClaimChange from) {
    ClaimKey key =
        new ClaimKey(
            new CustomerId(from.getCustomer()),
            new RouteId(from.getRoute()),
            new IdempotencyKey(from.getKey()));
    ClaimId id = fromProto(from.getId());
    return switch (from.getKindCase()) {
      case CLAIM ->
          new ClaimChange.Claim(
              key,
              id,
              new Fingerprint(from.getClaim().getFingerprint()),
              Duration.ofMillis(from.getClaim().getRunLimitMillis()));
      case RELEASE -> new ClaimChange.Release(key, id);
      case SETTLE -> new ClaimChange.Settle(key, id, fromProto(from.getSettle()));
      case KIND_NOT_SET -> throw new IllegalArgumentException("claim change without a kind");
    };
  }

  static ClaimBookSnapshot toProto(ClaimRegistry.Snapshot from) {
    var to = ClaimBookSnapshot.newBuilder().setClockNanos(nanos(from.latestLogTime()));
    from.entries().forEach(entry -> to.addEntry(toProto(entry)));
    from.releases()
        .forEach(
            r -> to.addReleasedBuilder().setId(toProto(r.id())).setAtNanos(nanos(r.releasedAt())));
    return to.build();
  }

  static ClaimRegistry.Snapshot fromProto(ClaimBookSnapshot from) {
    return new ClaimRegistry.Snapshot(
        from.getEntryList().stream().map(IdempotencyCodec::fromProto).toList(),
        from.getReleasedList().stream()
            .map(r -> new ClaimRegistry.Release(fromProto(r.getId()), instant(r.getAtNanos())))
            .toList(),
        instant(from.getClockNanos()));
  }

  /** Returns the time without loss, since replicas must not differ by rounding. */
  static long nanos(Instant at) {
    return Math.addExact(
        Math.multiplyExact(at.getEpochSecond(), NANOS_PER_SECOND), (long) at.getNano());
  }

  static Instant instant(long nanos) {
    return Instant.ofEpochSecond(0, nanos);
  }

  private static ClaimBookSnapshot.Entry toProto(ClaimRegistry.Entry from) {
    var to =
        ClaimBookSnapshot.Entry.newBuilder()
            .setCustomer(from.key().customer().value())
            .setRoute(from.key().route().value())
            .setKey(from.key().key().value())
            .setHolder(toProto(from.holder()))
            .setFingerprint(from.fingerprint().hex())
            .setClaimedAtNanos(nanos(from.claimedAt()))
            .setRunLimitMillis(from.runLimit().toMillis());
    from.outcome().ifPresent(callOutcome -> to.setOutcome(toProto(callOutcome)));
    return to.build();
  }

  private static ClaimRegistry.Entry fromProto(ClaimBookSnapshot.Entry from) {
    return new ClaimRegistry.Entry(
        new ClaimKey(
            new CustomerId(from.getCustomer()),
            new RouteId(from.getRoute()),
            new IdempotencyKey(from.getKey())),
        fromProto(from.getHolder()),
        new Fingerprint(from.getFingerprint()),
        instant(from.getClaimedAtNanos()),
        Duration.ofMillis(from.getRunLimitMillis()),
        from.hasOutcome() ? Optional.of(fromProto(from.getOutcome())) : Optional.empty());
  }

  private static org.cuminwell.wire.generated.ClaimId toProto(ClaimId from) {
    return org.cuminwell.wire.generated.ClaimId.newBuilder()
        .setGateway(from.gateway().value())
        .setRequest(from.request().value())
        .build();
  }

  private static ClaimId fromProto(org.cuminwell.wire.generated.ClaimId from) {
    return new ClaimId(new HostId(from.getGateway()), new RequestId(from.getRequest()));
  }

  private static org.cuminwell.wire.generated.ClaimAnswer toProto(ClaimAnswer from) {
    var to = org.cuminwell.wire.generated.ClaimAnswer.newBuilder();
    Empty empty = Empty.getDefaultInstance();
    switch (from) {
      case ClaimAnswer.Granted a -> to.setGranted(empty);
      case ClaimAnswer.InProgress a -> to.setInProgress(empty);
      case ClaimAnswer.Ended a -> to.setEnded(toProto(a.outcome()));
      case ClaimAnswer.KeyReused a -> to.setKeyReused(empty);
      case ClaimAnswer.LimitReached a -> to.setFull(empty);
      case ClaimAnswer.Withdrawn a -> to.setWithdrawn(empty);
      case ClaimAnswer.Acknowledged a -> to.setNoted(empty);
    }
    return to.build();
  }

  private static ClaimAnswer fromProto(org.cuminwell.wire.generated.ClaimAnswer from) {
    return switch (from.getKindCase()) {
      case GRANTED -> new ClaimAnswer.Granted();
      case IN_PROGRESS -> new ClaimAnswer.InProgress();
      case ENDED -> new ClaimAnswer.Ended(fromProto(from.getEnded()));
      case KEY_REUSED -> new ClaimAnswer.KeyReused();
      case FULL -> new ClaimAnswer.LimitReached();
      case WITHDRAWN -> new ClaimAnswer.Withdrawn();
      case NOTED -> new ClaimAnswer.Acknowledged();
      case KIND_NOT_SET -> throw new IllegalArgumentException("claim answer without a kind");
    };
  }

  private static ClaimOutcome toProto(CallOutcome from) {
    ClaimOutcome.Builder to = ClaimOutcome.newBuilder();
    switch (from) {
      case CallOutcome.Answered o ->
          to.getAnsweredBuilder()
              .setStatus(o.status())
              .setContentType(o.contentType())
              .setBody(ByteString.copyFrom(o.body().toArray()));
      case CallOutcome.BodyNotKept o ->
          to.getNotKeptBuilder().setStatus(o.status()).setBytes(o.bytes()).setSha256(o.sha256());
      case CallOutcome.AnswerLost o ->
          to.setAnswerLost(ClaimOutcome.AnswerLost.getDefaultInstance());
      case CallOutcome.Unknown o -> to.setUnknown(ClaimOutcome.Unknown.getDefaultInstance());
    }
    return to.build();
  }

  private static CallOutcome fromProto(ClaimOutcome from) {
    return switch (from.getKindCase()) {
      case ANSWERED ->
          new CallOutcome.Answered(
              from.getAnswered().getStatus(),
              from.getAnswered().getContentType(),
              Bytes.copyOf(from.getAnswered().getBody().toByteArray()));
      case NOT_KEPT ->
          new CallOutcome.BodyNotKept(
              from.getNotKept().getStatus(),
              from.getNotKept().getBytes(),
              from.getNotKept().getSha256());
      case ANSWER_LOST -> new CallOutcome.AnswerLost();
      case UNKNOWN -> new CallOutcome.Unknown();
      case KIND_NOT_SET -> throw new IllegalArgumentException("outcome without a kind");
    };
  }
}
