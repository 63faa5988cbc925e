package org.cuminwell.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request to take an endpoint out of use, read late, taking out the incarnation
 * that has started since under the same id.
 */
final class LateDepartureSparesTheNextIncarnationTest {

  private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");
  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final long KNOWN_INCARNATION = 2;

  @ParameterizedTest(name = "names {0}, {1} ms old: acknowledged {2}, leaves {3}")
  @CsvSource({
    "1,  0,     true,  false",
    "1,  3000,  true,  false",
    "2,  0,     true,  true",
    "2,  3000,  true,  true",
    "'', 0,     true,  true",
    "'', 499,   true,  true",
    "'', 500,   false, false",
    "'', 3000,  false, false",
  })
  void onlyTheIncarnationThatIsMeantLeaves(
      String named, long ageMillis, boolean acknowledged, boolean leaves) {
    EndpointHandler handler = new EndpointHandler(List::of);
    handler.onAnnouncement(
        TestAnnouncement.first(ENDPOINT, KNOWN_INCARNATION), new RequestAge(NOW), NOW);

    ControlAction.Answer answer =
        handler.onDepartureRequested(request(named, ageMillis, ENDPOINT), NOW);

    assertThat(answer instanceof ControlAction.AnswerCarriedOut).isEqualTo(acknowledged);
    assertThat(handler.table().find(ENDPOINT).orElseThrow().leaving()).isEqualTo(leaves);
  }

  @ParameterizedTest(name = "names {0}: acknowledged {1}")
  @CsvSource({"'', false", "7, true"})
  void requestOfAnUnknownEndpointIsNotAcknowledgedInVain(String named, boolean acknowledged) {
    EndpointHandler handler = new EndpointHandler(List::of);
    ControlAction.Answer answer =
        handler.onDepartureRequested(request(named, 0, new EndpointId("other")), NOW);
    assertThat(answer instanceof ControlAction.AnswerCarriedOut).isEqualTo(acknowledged);
  }

  private static ControlEvent.DepartureRequested request(
      String named, long ageMillis, EndpointId endpoint) {
    OptionalLong incarnation =
        named.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(named));
    return new ControlEvent.DepartureRequested(
        new RequestId("r"), endpoint, incarnation, new RequestAge(NOW.minusMillis(ageMillis)));
  }
}
