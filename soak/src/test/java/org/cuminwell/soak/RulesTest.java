package org.cuminwell.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.cuminwell.soak.History.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that each rule notices a history that breaks it, and none other. */
final class RulesTest {

  private static final Instant STOP = Instant.parse("2030-01-01T00:00:00Z");

  private final History history = new History();

  @ParameterizedTest(name = "{0}: sent {1} ms, ended {2} ms after SIGTERM, ran until {3}, {4}")
  @CsvSource({
    "cut while it ran,                   -1000, 2000, 2500, BROKEN_OFF, false, false, 1",
    "whole,                              -1000, 2000, 1900, WHOLE,      false, false, 0",
    "its endpoint broke off,             -1000, 2000, 1900, BROKEN_OFF, true,  false, 0",
    "at work at the end of the grace,    -1000, 7000, 7100, BROKEN_OFF, false, false, 0",
    "the same but sent late,              3100, 7000, 7100, BROKEN_OFF, false, false, 1",
    "cut after the grace,                -1000, 9500, 9600, BROKEN_OFF, false, false, 0",
    "something unplanned at the time,    -1000, 2000, 2500, BROKEN_OFF, false, true,  0",
    "its caller gave up,                 -1000, 2000, 2500, TIMED_OUT,  false, false, 0",
  })
  void responsesThatAStopCutAreNoticed(
      String name,
      long sent,
      long ended,
      long ranUntil,
      Outcome outcome,
      boolean brokeOff,
      boolean disrupted,
      int violations) {
    history.add(new History.Signal("g0", "TERM", STOP));
    add("a", Route.CHAT, sent, ended, outcome, 200);
    history.add(
        new History.Arrival(
            "a", "e0", STOP.plusMillis(sent), STOP.plusMillis(ranUntil), true, brokeOff));
    if (disrupted) {
      history.add(new History.Disruption(STOP.minusMillis(1_500), STOP));
    }
    assertThat(result("LOST").violations()).hasSize(violations);
  }

  @ParameterizedTest(name = "over a used connection {0}, ended after {1} ms: {2}")
  @CsvSource({"true, 500, 1", "true, 150, 0", "false, 500, 0"})
  void requestThatWasNotPassedOnCountsOnlyIfItCanHaveBeenRead(
      boolean reused, long took, int violations) {
    history.add(new History.Signal("g0", "TERM", STOP));
    history.add(
        new History.Request(
            "a",
            Route.RESERVE,
            "g0",
            STOP.plusMillis(1_000),
            STOP.plusMillis(1_000 + took),
            Outcome.BROKEN_OFF,
            0,
            reused));
    assertThat(result("LOST").violations()).hasSize(violations);
  }

  @ParameterizedTest(name = "{0} repeats of {1} requests: broken {2}")
  @CsvSource({"52, 1, false", "53, 1, true", "72, 100, false", "73, 100, true"})
  void repeatsBeyondTheBudgetAreNoticed(int repeats, int requests, boolean broken) {
    for (int i = 0; i < requests; i++) {
      add("r" + i, Route.LOOK, 0, 100, Outcome.WHOLE, 200);
    }
    for (int i = 0; i <= repeats; i++) {
      history.add(
          new History.Arrival("r0", "e0", STOP.plusMillis(i), STOP.plusMillis(i), false, false));
    }
    assertThat(result("BUDGET").violations().isEmpty()).isEqualTo(!broken);
    assertThat(result("BUDGET").tested()).isEqualTo(repeats);
  }

  @ParameterizedTest(name = "{0} runs {1} times, status {2}: {3}")
  @CsvSource({
    "RESERVE, 2, 200, TWICE,   1",
    "RESERVE, 1, 200, TWICE,   0",
    "CHAT,    2, 200, TWICE,   0",
    "RESERVE, 1, 503, REFUSED, 1",
    "RESERVE, 1, 502, REFUSED, 0",
    "RESERVE, 0, 503, REFUSED, 0",
    "REPORT,  1, 429, REFUSED, 1",
    "LOOK,    1, 503, REFUSED, 0",
  })
  void runsThatMustNotBeAreNoticed(Route route, int runs, int status, String rule, int violations) {
    add("a", route, 0, 100, Outcome.WHOLE, status);
    for (int i = 0; i < runs; i++) {
      history.add(new History.Arrival("a", "e" + i, STOP, STOP, true, false));
    }
    assertThat(result(rule).violations()).hasSize(violations);
  }

  private void add(String id, Route route, long sent, long ended, Outcome outcome, int status) {
    history.add(
        new History.Request(
            id,
            route,
            "g0",
            STOP.plusMillis(sent),
            STOP.plusMillis(ended),
            outcome,
            status,
            false));
  }

  private RuleResult result(String rule) {
    return Rules.check(history).stream()
        .filter(result -> result.rule().equals(rule))
        .findFirst()
        .orElseThrow();
  }
}
