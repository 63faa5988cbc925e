package org.cuminwell.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.membership.LoadDigest;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.model.EndpointId;

/**
 * Maps the optional fields 9 and 10 of {@code MembershipMessage.Heard}, a {@link LoadDigest} and
 * the pauses of endpoints, to bytes and back. Methods that read throw {@link
 * IllegalArgumentException} for bytes that are not a digest, and ignore fields of later builds.
 * Stateless and thread safe.
 *
 * <p>The schema comment in {@code membership.proto} describes the messages. They are written
 * through {@link UnknownFieldSet}, in the encoding that generated classes would use, because the
 * generated classes do not contain them yet.
 */
final class LoadDigestCodec {

  private static final int LOADS = 9;
  private static final int PAUSED = 10;
  private static final int INCARNATION = 2;
  private static final int REMAINING_MILLIS = 3;
  private static final int NUMBER = 1;
  private static final int LOAD = 2;
  private static final int PREFIX_MAX_AGE_MILLIS = 3;
  private static final int ENDPOINT = 1;
  private static final int RUNNING = 2;
  private static final int PREFILL_TOKENS_PER_SECOND = 3;
  private static final int PREFIXES = 4;

  private LoadDigestCodec() {}

  static UnknownFieldSet toFields(Optional<LoadDigest> loads, List<Item.Paused> pauses) {
    UnknownFieldSet.Builder to = UnknownFieldSet.newBuilder();
    loads.ifPresent(digest -> to.addField(LOADS, bytes(toBytes(digest))));
    pauses.forEach(pause -> to.mergeField(PAUSED, bytes(toBytes(pause))));
    return to.build();
  }

  static List<Item> pausesFrom(UnknownFieldSet from) {
    List<Item> pauses = new ArrayList<>();
    for (ByteString bytes : from.getField(PAUSED).getLengthDelimitedList()) {
      UnknownFieldSet pause = parse(bytes);
      pauses.add(
          new Item.Paused(
              new EndpointId(lastBytes(pause, ENDPOINT).toStringUtf8()),
              lastVarint(pause, INCARNATION),
              Duration.ofMillis(lastVarint(pause, REMAINING_MILLIS))));
    }
    return pauses;
  }

  private static ByteString toBytes(Item.Paused from) {
    return UnknownFieldSet.newBuilder()
        .addField(ENDPOINT, bytes(ByteString.copyFromUtf8(from.endpoint().value())))
        .addField(INCARNATION, varint(from.incarnation()))
        .addField(REMAINING_MILLIS, varint(from.remaining().toMillis()))
        .build()
        .toByteString();
  }

  private static UnknownFieldSet parse(ByteString bytes) {
    try {
      return UnknownFieldSet.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("invalid optional fields: " + e.getMessage(), e);
    }
  }

  private static ByteString toBytes(LoadDigest from) {
    UnknownFieldSet.Builder loads = UnknownFieldSet.newBuilder();
    loads.addField(NUMBER, varint(from.number()));
    loads.addField(PREFIX_MAX_AGE_MILLIS, varint(from.prefixMaxAge().toMillis()));
    for (LoadDigest.Load load : from.loads()) {
      loads.mergeField(LOAD, bytes(toFields(load).toByteString()));
    }
    return loads.build().toByteString();
  }

  static Optional<LoadDigest> fromFields(UnknownFieldSet from) {
    if (!from.hasField(LOADS)) {
      return Optional.empty();
    }
    UnknownFieldSet loads = parse(lastBytes(from, LOADS));
    List<LoadDigest.Load> list = new ArrayList<>();
    for (ByteString load : loads.getField(LOAD).getLengthDelimitedList()) {
      list.add(loadFrom(parse(load)));
    }
    Duration prefixMaxAge = Duration.ofMillis(lastVarint(loads, PREFIX_MAX_AGE_MILLIS));
    return Optional.of(new LoadDigest(lastVarint(loads, NUMBER), prefixMaxAge, list));
  }

  private static UnknownFieldSet toFields(LoadDigest.Load from) {
    return UnknownFieldSet.newBuilder()
        .addField(ENDPOINT, bytes(ByteString.copyFromUtf8(from.endpoint().value())))
        .addField(RUNNING, varint(from.running()))
        .addField(PREFILL_TOKENS_PER_SECOND, varint(from.prefillTokensPerSecond()))
        .addField(PREFIXES, fixed64(from.prefixes()))
        .build();
  }

  private static LoadDigest.Load loadFrom(UnknownFieldSet from) {
    return new LoadDigest.Load(
        new EndpointId(lastBytes(from, ENDPOINT).toStringUtf8()),
        (int) Math.min(Integer.MAX_VALUE, lastVarint(from, RUNNING)),
        lastVarint(from, PREFILL_TOKENS_PER_SECOND),
        from.getField(PREFIXES).getFixed64List());
  }

  private static Field fixed64(List<Long> values) {
    Field.Builder field = Field.newBuilder();
    values.forEach(field::addFixed64);
    return field.build();
  }

  private static Field varint(long value) {
    return Field.newBuilder().addVarint(value).build();
  }

  private static Field bytes(ByteString value) {
    return Field.newBuilder().addLengthDelimited(value).build();
  }

  private static long lastVarint(UnknownFieldSet from, int number) {
    List<Long> values = from.getField(number).getVarintList();
    return values.isEmpty() ? 0 : values.getLast();
  }

  private static ByteString lastBytes(UnknownFieldSet from, int number) {
    List<ByteString> values = from.getField(number).getLengthDelimitedList();
    return values.isEmpty() ? ByteString.EMPTY : values.getLast();
  }
}
