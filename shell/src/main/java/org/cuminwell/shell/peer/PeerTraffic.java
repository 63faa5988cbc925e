package org.cuminwell.shell.peer;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.wire.PeerFrame;

/**
 * Counts the frames of one direction and their bytes, by kind.
 *
 * <p>Bytes are those of frames with their length and without TLS. Invariant: counts never go down.
 * Thread safe.
 */
final class PeerTraffic {

  private final Map<FrameKind, Counts> byKind = new EnumMap<>(FrameKind.class);

  /** Counts one kind of frame. */
  private record Counts(LongAdder frames, LongAdder bytes) {}

  PeerTraffic() {
    Arrays.stream(FrameKind.values())
        .forEach(kind -> byKind.put(kind, new Counts(new LongAdder(), new LongAdder())));
  }

  void count(PeerFrame frame, int bytes) {
    Counts counts = Objects.requireNonNull(byKind.get(FrameKind.of(frame)));
    counts.frames().increment();
    counts.bytes().add(bytes);
  }

  /** Shows the counts of each kind, as {@code peer_messages_sent_limits} or the like. */
  void show(Telemetry telemetry, String direction) {
    telemetry.gauge("peer_" + direction + "_bytes", this::bytes);
    byKind.forEach(
        (kind, counts) -> {
          String suffix = direction + "_" + kind.label();
          telemetry.gauge("peer_messages_" + suffix, counts.frames()::sum);
          telemetry.gauge("peer_bytes_" + suffix, counts.bytes()::sum);
        });
  }

  private long bytes() {
    return byKind.values().stream().mapToLong(counts -> counts.bytes().sum()).sum();
  }
}
