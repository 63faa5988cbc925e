package org.cuminwell.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.cuminwell.core.crash.CrashRecord;
import org.cuminwell.core.crash.CrashUpdate;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.crash.Suspension;
import org.cuminwell.core.crash.Trait;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.PeerMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that evidence on crashes is decoded as it was encoded. */
final class CrashCodecTest {

  private static final Trait CONTENT = new Trait.Content(-1);
  private static final Trait PART = new Trait.SharedPart(Long.MIN_VALUE);

  static Stream<CrashUpdate> updates() {
    CrashRecord crash =
        new CrashRecord(
            new EndpointIncarnation(new EndpointId("e0"), 1_775_000_000_000L),
            "service",
            Map.of(new HostId("g0"), 3, new HostId("g1"), 12),
            Set.of(CONTENT, PART),
            Set.of(PART),
            true);
    CrashUpdate.Aged aged =
        new CrashUpdate.Aged(new Suspension(PART, 2, true), Duration.ofMillis(1_234));
    return Stream.of(
        new CrashUpdate(List.of(), List.of()),
        new CrashUpdate(List.of(crash), List.of()),
        new CrashUpdate(List.of(crash), List.of(aged)));
  }

  @ParameterizedTest
  @MethodSource("updates")
  void updatesAreDecodedAsTheyWereEncoded(CrashUpdate update) throws WireFormatException {
    PeerFrame frame = new PeerFrame.Message(new PeerMessage.Crashes(update));
    assertThat(PeerFrameCodec.decode(PeerFrameCodec.encode(frame))).isEqualTo(frame);
  }
}
