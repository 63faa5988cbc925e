package org.cuminwell.shell.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.stream.Stream;
import org.cuminwell.core.distribution.DistributionMessage;
import org.cuminwell.core.membership.MembershipMessage;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Revision;
import org.cuminwell.core.peer.PeerMessage;
import org.cuminwell.shell.metrics.Telemetry;
import org.cuminwell.wire.PeerFrame;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that sent frames and their bytes show up in the metrics of their kind. */
class PeerTrafficTest {

  private static final int BYTES = 40;

  static Stream<Arguments> frames() {
    return Stream.of(
        Arguments.of("hello", new PeerFrame.Hello(new HostId("g1"))),
        Arguments.of("heartbeat", new PeerFrame.Heartbeat()),
        Arguments.of(
            "distribution",
            new PeerFrame.Message(
                new PeerMessage.Distribution(
                    new DistributionMessage.RevisionInForce(Revision.ZERO)))),
        Arguments.of(
            "membership",
            new PeerFrame.Message(
                new PeerMessage.Membership(new MembershipMessage.FullUpdateRequest()))));
  }

  @ParameterizedTest
  @MethodSource("frames")
  void framesAreCountedByKind(String kind, PeerFrame frame) {
    Telemetry telemetry = new Telemetry(InstantSource.system());
    PeerTraffic traffic = new PeerTraffic();
    traffic.registerGauges(telemetry, "sent");
    traffic.count(frame, BYTES);
    traffic.count(frame, BYTES);

    assertThat(telemetry.prometheusText())
        .contains("cuminwell_peer_messages_sent_" + kind + " 2\n")
        .contains("cuminwell_peer_bytes_sent_" + kind + " 80\n")
        .contains("cuminwell_peer_sent_bytes 80\n")
        .contains("cuminwell_peer_messages_sent_limits 0\n");
  }
}
