package org.cuminwell.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cuminwell.core.duty.Duty;
import org.cuminwell.core.duty.DutyChange;
import org.cuminwell.core.duty.DutyHolding;
import org.cuminwell.core.duty.DutySnapshot;
import org.cuminwell.core.duty.UsageCounts;
import org.cuminwell.core.duty.UsageMessage;
import org.cuminwell.core.duty.UsageWindow;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;

/**
 * Maps duties and usage to the messages of {@code duty.proto} and back, field by field, since no
 * classes are generated for that file yet. Methods that read throw {@link IllegalArgumentException}
 * for values that the core refuses. Stateless and thread safe.
 */
final class DutyCodec {

  /** The fields that hold these messages in others, where the schema reserves them. */
  static final int COMMAND_FIELD = 8;

  static final int SNAPSHOT_FIELD = 7;
  static final int ENVELOPE_FIELD = 19;

  private DutyCodec() {}

  /** Returns the fields of a message whose only field of that number is {@code value}. */
  static UnknownFieldSet field(int number, UnknownFieldSet value) {
    return new Writer().message(number, value).build();
  }

  /** Returns the message in that field; empty if there is none. */
  static Optional<UnknownFieldSet> findMessage(UnknownFieldSet from, int number) {
    return from.hasField(number) ? messages(from, number).stream().findFirst() : Optional.empty();
  }

  static UnknownFieldSet toFields(DutyChange from) {
    return switch (from) {
      case DutyChange.Take c ->
          field(
              1,
              new Writer()
                  .number(1, numberOf(c.duty()))
                  .text(2, c.holder().value())
                  .number(3, c.basis())
                  .number(4, c.term())
                  .build());
      case DutyChange.RecordUsage c ->
          field(2, new Writer().number(1, c.token()).message(2, toFields(c.report())).build());
      case DutyChange.ConfirmUsage c -> field(3, new Writer().number(1, c.window()).build());
    };
  }

  static DutyChange changeOf(UnknownFieldSet from) {
    Optional<UnknownFieldSet> take = findMessage(from, 1);
    if (take.isPresent()) {
      UnknownFieldSet f = take.get();
      return new DutyChange.Take(
          dutyOf(number(f, 1)), new HostId(text(f, 2)), number(f, 4), number(f, 3));
    }
    Optional<UnknownFieldSet> record = findMessage(from, 2);
    if (record.isPresent()) {
      UnknownFieldSet report =
          findMessage(record.get(), 2)
              .orElseThrow(() -> new IllegalArgumentException("a report without a window"));
      return new DutyChange.RecordUsage(number(record.get(), 1), windowOf(report));
    }
    return findMessage(from, 3)
        .map(f -> new DutyChange.ConfirmUsage(number(f, 1)))
        .orElseThrow(() -> new IllegalArgumentException("change of a duty without a kind"));
  }

  static UnknownFieldSet toFields(DutySnapshot from) {
    Writer to = new Writer();
    new TreeMap<>(from.holdings())
        .forEach((duty, holding) -> to.message(1, toFields(duty, holding)));
    from.lastRecorded().ifPresent(window -> to.number(2, window));
    from.unconfirmed().forEach(report -> to.message(3, toFields(report)));
    return to.number(4, from.droppedReports()).build();
  }

  static DutySnapshot snapshotOf(UnknownFieldSet from) {
    Map<Duty, DutyHolding> holdings = new EnumMap<>(Duty.class);
    for (UnknownFieldSet f : messages(from, 1)) {
      holdings.put(
          dutyOf(number(f, 1)),
          new DutyHolding(
              new HostId(text(f, 2)),
              number(f, 5),
              number(f, 3),
              Instant.ofEpochMilli(number(f, 4))));
    }
    return new DutySnapshot(
        holdings,
        optionalNumber(from, 2),
        messages(from, 3).stream().map(DutyCodec::windowOf).toList(),
        number(from, 4));
  }

  static UnknownFieldSet toFields(UsageMessage from) {
    return switch (from) {
      case UsageMessage.Request m -> {
        Writer to = new Writer();
        m.recordedThrough().ifPresent(window -> to.number(1, window));
        yield field(1, to.build());
      }
      case UsageMessage.Counts m -> {
        Writer to = new Writer();
        to.fixed(1, m.counts().incarnation()).number(2, m.counts().countedUntil().toEpochMilli());
        m.counts().windows().forEach(window -> to.message(3, toFields(window)));
        yield field(2, to.build());
      }
    };
  }

  static UsageMessage messageOf(UnknownFieldSet from) {
    Optional<UnknownFieldSet> request = findMessage(from, 1);
    if (request.isPresent()) {
      return new UsageMessage.Request(optionalNumber(request.get(), 1));
    }
    return findMessage(from, 2)
        .map(
            f ->
                new UsageMessage.Counts(
                    new UsageCounts(
                        f.getField(1).getFixed64List().stream().findFirst().orElse(0L),
                        Instant.ofEpochMilli(number(f, 2)),
                        messages(f, 3).stream().map(DutyCodec::windowOf).toList())))
        .orElseThrow(() -> new IllegalArgumentException("message on usage without a kind"));
  }

  private static UnknownFieldSet toFields(Duty duty, DutyHolding holding) {
    return new Writer()
        .number(1, numberOf(duty))
        .text(2, holding.holder().value())
        .number(3, holding.token())
        .number(4, holding.takenAt().toEpochMilli())
        .number(5, holding.term())
        .build();
  }

  private static UnknownFieldSet toFields(UsageWindow from) {
    Writer to = new Writer().number(1, from.window());
    from.counts()
        .forEach(
            (customer, count) ->
                to.message(2, new Writer().text(1, customer.value()).number(2, count).build()));
    return to.build();
  }

  private static UsageWindow windowOf(UnknownFieldSet from) {
    TreeMap<CustomerId, Long> counts = new TreeMap<>();
    messages(from, 2).forEach(f -> counts.put(new CustomerId(text(f, 1)), number(f, 2)));
    return new UsageWindow(number(from, 1), counts);
  }

  private static long numberOf(Duty duty) {
    return switch (duty) {
      case USAGE_REPORT -> 1;
      case SCALE -> 2;
    };
  }

  private static Duty dutyOf(long number) {
    for (Duty duty : Duty.values()) {
      if (numberOf(duty) == number) {
        return duty;
      }
    }
    throw new IllegalArgumentException("no duty has the number " + number);
  }

  private static long number(UnknownFieldSet from, int field) {
    return optionalNumber(from, field).orElse(0);
  }

  private static OptionalLong optionalNumber(UnknownFieldSet from, int field) {
    List<Long> values = from.getField(field).getVarintList();
    return values.isEmpty() ? OptionalLong.empty() : OptionalLong.of(values.getLast());
  }

  private static String text(UnknownFieldSet from, int field) {
    return from.getField(field).getLengthDelimitedList().stream()
        .findFirst()
        .map(ByteString::toStringUtf8)
        .orElse("");
  }

  private static List<UnknownFieldSet> messages(UnknownFieldSet from, int field) {
    List<UnknownFieldSet> result = new ArrayList<>();
    for (var bytes : from.getField(field).getLengthDelimitedList()) {
      try {
        result.add(UnknownFieldSet.parseFrom(bytes));
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalArgumentException("a field that is no message: " + e.getMessage(), e);
      }
    }
    return result;
  }

  /** Collects the fields of one message. */
  private static final class Writer {

    private final UnknownFieldSet.Builder to = UnknownFieldSet.newBuilder();

    Writer number(int field, long value) {
      to.mergeField(field, Field.newBuilder().addVarint(value).build());
      return this;
    }

    Writer fixed(int field, long value) {
      to.mergeField(field, Field.newBuilder().addFixed64(value).build());
      return this;
    }

    Writer text(int field, String value) {
      to.mergeField(
          field, Field.newBuilder().addLengthDelimited(ByteString.copyFromUtf8(value)).build());
      return this;
    }

    Writer message(int field, UnknownFieldSet value) {
      to.mergeField(field, Field.newBuilder().addLengthDelimited(value.toByteString()).build());
      return this;
    }

    UnknownFieldSet build() {
      return to.build();
    }
  }
}
