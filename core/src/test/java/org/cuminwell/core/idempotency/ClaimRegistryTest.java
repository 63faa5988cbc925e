package org.cuminwell.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cuminwell.core.model.CustomerId;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.core.model.RouteId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the answers to sequences of claim changes.
 *
 * <p>A step is written as {@code time:change}: {@code cA} claims for request A, {@code CA} claims
 * with other content, {@code rA} releases, {@code sA} settles with an answer, {@code uA} settles as
 * unknown, and {@code lA} settles with a response that is too long to keep. Times are in seconds.
 */
class ClaimRegistryTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final Duration RUN_LIMIT = Duration.ofSeconds(60);

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "first claim,                           0:cA,                     granted",
    "duplicated claim of one request,       0:cA 1:cA,                granted",
    "resend in flight,                      0:cA 1:cB,                in_progress",
    "resend after the run limit,            0:cA 61:cB,               unknown",
    "resend after an answer,                0:cA 1:sA 2:cB,           answered",
    "resend after a long answer,            0:cA 1:lA 2:cB,           not_kept",
    "resend after an unknown outcome,       0:cA 1:uA 2:cB,           unknown",
    "outcome after the run limit,           0:cA 90:sA 91:cB,         answered",
    "resend after a release,                0:cA 1:rA 2:cB,           granted",
    "claim that comes after its release,    0:rA 1:cA,                withdrawn",
    "duplicated claim after its release,    0:cA 1:rA 2:cA,           withdrawn",
    "late claim does not block a resend,    0:cA 1:rA 2:cA 3:cB,      granted",
    "duplicated release of earlier claim,   0:cA 1:rA 2:cB 3:rA 4:cC, in_progress",
    "release by another claim,              0:cA 1:rB 2:cC,           in_progress",
    "release after an answer,               0:cA 1:sA 2:rA 3:cB,      answered",
    "release after an unknown outcome,      0:cA 1:uA 2:rA 3:cB,      unknown",
    "outcome of a claim that was released,  0:cA 1:rA 2:sA 3:cB,      granted",
    "outcome reported by another claim,     0:cA 1:sB 2:cC,           in_progress",
    "second outcome changes nothing,        0:cA 1:uA 2:sA 3:cB,      unknown",
    "other content in flight,               0:cA 1:CB,                key_reused",
    "other content after an answer,         0:cA 1:sA 2:CB,           key_reused",
    "other content after a release,         0:cA 1:rA 2:CB,           granted",
    "log time that decreases,               100:cA 0:sA 50:cB,        answered",
    "no outcome for nearly a day,           0:cA 86399:cB,            unknown",
    "end of the retention,                  0:cA 1:sA 86401:cB,       granted",
  })
  void answersSequenceOfChanges(String name, String steps, String expected) {
    ClaimRegistry registry = new ClaimRegistry();
    String last = "";
    for (String step : List.of(steps.split(" ", -1))) {
      last = label(apply(registry, step));
    }

    assertThat(last).isEqualTo(expected);
    assertThat(new ClaimRegistry(registry.snapshot()).snapshot()).isEqualTo(registry.snapshot());
  }

  @Test
  void refusesClaimsAboveTheCustomerLimit() {
    ClaimRegistry registry = new ClaimRegistry();
    for (int i = 0; i < ClaimRegistry.MAX_CLAIMS_PER_CUSTOMER; i++) {
      assertThat(label(registry.apply(claim("r" + i, "k" + i, "x", "touba"), START)))
          .isEqualTo("granted");
    }

    assertThat(label(registry.apply(claim("over", "over", "x", "touba"), START))).isEqualTo("full");
    assertThat(label(registry.apply(claim("other", "over", "x", "thies"), START)))
        .isEqualTo("granted");
    Instant later = START.plus(ClaimRegistry.RETENTION).plusSeconds(1);
    assertThat(label(registry.apply(claim("later", "over", "x", "touba"), later)))
        .isEqualTo("granted");
    assertThat(registry.snapshot().entries()).hasSize(1);
  }

  @Test
  void keepsBodiesUpToTheTotalLimit() {
    ClaimRegistry registry = new ClaimRegistry();
    byte[] body = new byte[CallOutcome.MAX_BODY_BYTES];
    long bodiesThatFit = ClaimRegistry.MAX_TOTAL_BODY_BYTES / body.length;
    for (int i = 0; i <= bodiesThatFit; i++) {
      var claim = claim("r" + i, "k" + i, "x", "touba");
      registry.apply(claim, START);
      registry.apply(
          new ClaimChange.Settle(claim.key(), claim.id(), CallOutcome.answered(200, "a/b", body)),
          START);
    }

    assertThat(label(registry.apply(claim("s", "k0", "x", "touba"), START))).isEqualTo("answered");
    assertThat(label(registry.apply(claim("s", "k" + bodiesThatFit, "x", "touba"), START)))
        .isEqualTo("not_kept");
  }

  private static ClaimAnswer apply(ClaimRegistry registry, String step) {
    int colon = step.indexOf(':');
    Instant at = START.plusSeconds(Long.parseLong(step.substring(0, colon)));
    ClaimChange.Claim claim = claim(step.substring(colon + 2), "key", "content", "touba");
    ClaimChange change =
        switch (step.charAt(colon + 1)) {
          case 'c' -> claim;
          case 'C' -> claim(step.substring(colon + 2), "key", "other content", "touba");
          case 'r' -> new ClaimChange.Release(claim.key(), claim.id());
          case 's' -> settle(claim, CallOutcome.answered(201, "text/plain", new byte[] {1}));
          case 'u' -> settle(claim, new CallOutcome.Unknown());
          case 'l' -> settle(claim, CallOutcome.answered(201, "text/plain", new byte[9_000]));
          default -> throw new IllegalArgumentException(step);
        };
    return registry.apply(change, at);
  }

  private static ClaimChange settle(ClaimChange.Claim claim, CallOutcome callOutcome) {
    return new ClaimChange.Settle(claim.key(), claim.id(), callOutcome);
  }

  private static ClaimChange.Claim claim(
      String request, String key, String content, String customer) {
    return new ClaimChange.Claim(
        new ClaimKey(new CustomerId(customer), new RouteId("sacks"), new IdempotencyKey(key)),
        new ClaimId(new HostId("g0"), new RequestId(request)),
        Fingerprint.of("POST", "/reserve", content.getBytes(StandardCharsets.UTF_8)),
        RUN_LIMIT);
  }

  private static String label(ClaimAnswer answer) {
    return switch (answer) {
      case ClaimAnswer.Granted _ -> "granted";
      case ClaimAnswer.InProgress _ -> "in_progress";
      case ClaimAnswer.Ended(CallOutcome.Answered _) -> "answered";
      case ClaimAnswer.Ended(CallOutcome.BodyNotKept _) -> "not_kept";
      case ClaimAnswer.Ended(CallOutcome.AnswerLost _) -> "lost";
      case ClaimAnswer.Ended(CallOutcome.Unknown _) -> "unknown";
      case ClaimAnswer.KeyReused _ -> "key_reused";
      case ClaimAnswer.LimitReached _ -> "full";
      case ClaimAnswer.Withdrawn _ -> "withdrawn";
      case ClaimAnswer.Acknowledged _ -> "noted";
    };
  }
}
