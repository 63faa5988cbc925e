package org.cuminwell.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cuminwell.core.model.EndpointId;
import org.cuminwell.core.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which traits are blamed for crashes. Lower-case letters are parts, upper-case contents. */
final class SuspicionRulesTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  @ParameterizedTest(name = "{0}, a crash every {1} ms: {2}")
  @CsvSource({
    // Too few crashes to tell.
    "'ab ac',             1000, ''",
    // One part is in each crash, the others are not.
    "'ab ac ad',          1000, a",
    // Endpoints that end together are one incident.
    "'ab ac ad ae',       100,  ''",
    "'ab ac ad ae af ag', 250,  a",
    // Two parts that are always together are told apart by the next crash, or both are to blame.
    "'ab ab ab',          1000, ''",
    "'ab ab ab a',        1000, a",
    "'ab ab ab ab',       1000, ab",
    // A part that explains fewer crashes than another is not blamed beside it.
    "'ab ab ab ab a',     1000, a",
    // A rare part is in some of many crashes by chance.
    "'a b a c a',         1000, ''",
    "'a b a c a d a a',   1000, a",
    // Repetitions of one request: its parts are not blamed.
    "'Aa Aa Aa',          1000, A",
    "'Aa Aa Aa Aa Aa',    1000, A",
    // Repetitions of one request beside others with its part.
    "'Aa Aa Aa Ba',       1000, A",
    "'Aa Ba Ca Da',       1000, a",
    // A trait of another service's crashes does not excuse this one's.
    "'a x:b a x:c a',     1000, a",
  })
  void traitsThatExplainTheCrashesAreBlamed(String crashes, long gapMillis, String blamed) {
    List<SuspicionRules.Evidence> evidence = new ArrayList<>();
    for (String crash : crashes.split(" ", -1)) {
      Instant learnedAt = START.plusMillis(gapMillis * evidence.size());
      evidence.add(new SuspicionRules.Evidence(crash(evidence.size(), crash), learnedAt));
    }
    assertThat(SuspicionRules.findTraits(evidence))
        .extracting(SuspicionRules.Finding::trait)
        .containsExactlyInAnyOrderElementsOf(traits(blamed));
  }

  private static CrashRecord crash(int number, String suspects) {
    String[] serviceAndTraits = suspects.split(":", -1);
    return new CrashRecord(
        new EndpointIncarnation(new EndpointId("e" + number), 1),
        serviceAndTraits.length == 2 ? serviceAndTraits[0] : "service",
        Map.of(new HostId("g0"), 10),
        traits(serviceAndTraits[serviceAndTraits.length - 1]),
        Set.of(),
        false);
  }

  private static Set<Trait> traits(String letters) {
    return letters.chars().mapToObj(letter -> trait((char) letter)).collect(Collectors.toSet());
  }

  private static Trait trait(char letter) {
    return Character.isUpperCase(letter) ? new Trait.Content(letter) : new Trait.SharedPart(letter);
  }
}
