package org.cuminwell.shell.peer;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.wire.PeerFrame;

/**
 * Counts the frames and bytes sent or received, by kind of frame.
 *
 * <p>Bytes include the length field of each frame but no TLS overhead. Invariant: counts never
 * decrease. Thread safe.
 */
final class PeerTraffic {

  private final Map<FrameKind, Counts> byKind = new EnumMap<>(FrameKind.class);

  /** Holds the counters of one kind of frame. */
  private record Counts(LongAdder frames, LongAdder bytes) {}

  /** Creates counters at zero for every kind of frame. */
  PeerTraffic() {
    Arrays.stream(FrameKind.values())
        .forEach(kind -> byKind.put(kind, new Counts(new LongAdder(), new LongAdder())));
  }

  /** Counts one frame of {@code bytes} bytes. */
  void count(PeerFrame frame, int bytes) {
    Counts counts = Objects.requireNonNull(byKind.get(FrameKind.of(frame)));
    counts.frames().increment();
    counts.bytes().add(bytes);
  }

  /**
   * Registers a gauge for the total bytes, and for the frames and bytes of each kind, such as
   * {@code peer_messages_sent_limits}.
   *
   * @param direction {@code sent} or {@code received}, part of the metric names
   */
  void registerGauges(Telemetry telemetry, String direction) {
    telemetry.gauge("peer_" + direction + "_bytes", this::totalBytes);
    byKind.forEach(
        (kind, counts) -> {
          String suffix = direction + "_" + kind.label();
          telemetry.gauge("peer_messages_" + suffix, counts.frames()::sum);
          telemetry.gauge("peer_bytes_" + suffix, counts.bytes()::sum);
        });
  }

  private long totalBytes() {
    return byKind.values().stream().mapToLong(counts -> counts.bytes().sum()).sum();
  }
}
