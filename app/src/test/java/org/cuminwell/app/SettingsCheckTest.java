package org.cuminwell.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.api.parallel.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@ResourceLock(Resources.SYSTEM_OUT)
@ResourceLock(Resources.SYSTEM_ERR)
class SettingsCheckTest {

  private static final String GATEWAY =
      "check gateway --host-id g1 --region coast --data-centre dakar --http 127.0.0.1:1"
          + " --inner 127.0.0.1:2 --peer 127.0.0.1:3 --control 127.0.0.1:4";

  @ParameterizedTest(name = "{0} instead: exit {1}, says {2}")
  @CsvSource(
      delimiter = '|',
      value = {
        "                            | 0 | --host-id",
        "--host-id=g/1               | 2 | --host-id: host id must be 1 to 64 letters",
        "--http=127.0.0.1            | 2 | --http: address must be HOST:PORT",
        "--http=127.0.0.1:0          | 2 | --http: address must be HOST:PORT with a port from 1",
        "--peer=127.0.0.1:65536      | 2 | --peer: address must be HOST:PORT with a port from 1",
        "--control=here              | 2 | --control: address must be HOST:PORT",
        "--stop-timeout-s=-1         | 2 | --stop-timeout-s: must be 0 or more",
        "--stop-timeout-s=soon       | 2 | --stop-timeout-s",
        "--hops=3                    | 2 | --hops",
      })
  void wrongSettingIsRefusedWithItsFlag(String instead, int exitCode, String says)
      throws InterruptedException {
    List<String> words = new ArrayList<>(List.of(GATEWAY.split(" ")));
    if (instead != null) {
      int equals = instead.indexOf('=');
      String flag = instead.substring(0, equals);
      int at = words.indexOf(flag);
      if (at >= 0) {
        words.subList(at, at + 2).clear();
      }
      words.add(flag);
      words.add(instead.substring(equals + 1));
    }

    Outcome outcome = run(words);

    assertThat(outcome.exitCode()).isEqualTo(exitCode);
    assertThat(outcome.text()).contains(says);
  }

  private record Outcome(int exitCode, String text) {}

  private static Outcome run(List<String> words) throws InterruptedException {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream capture = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    System.setOut(capture);
    System.setErr(capture);
    try {
      int exitCode = Main.run(words.toArray(String[]::new));
      return new Outcome(exitCode, bytes.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }
}
