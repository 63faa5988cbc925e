package org.cuminwell.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds that a process that was asked to end stops and logs as long as it needs to. */
final class ShutdownTest {

  private static final Logger ROOT = Logger.getLogger("");

  @ParameterizedTest(name = "SIG{0}")
  @ValueSource(strings = {"TERM", "INT"})
  void linesOfAStoppingProcessAreWritten(String signal) throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    StructuredLog log = new StructuredLog(new PrintStream(output, false, StandardCharsets.UTF_8));
    ROOT.addHandler(log);
    CountDownLatch stopped = new CountDownLatch(1);
    Thread main = Thread.ofPlatform().start(() -> awaitSignal(stopped));
    while (main.getState() != Thread.State.WAITING) {
      Thread.sleep(1);
    }
    raise(signal);
    assertThat(stopped.await(10, TimeUnit.SECONDS)).isTrue();
    main.join();
    log.flush();
    ROOT.removeHandler(log);
    log.close();
    assertThat(output.toString(StandardCharsets.UTF_8)).contains("stopping for SIG");
  }

  @ParameterizedTest(name = "cuminwell {0}")
  @ValueSource(strings = {"gateway", "control"})
  void aHangUpWhileAProcessStartsDoesNotEndIt(String command) throws Exception {
    CountDownLatch noted = new CountDownLatch(1);
    assertThat(Main.handleHangUps(noted::countDown, command)).isTrue();
    raise("HUP");
    assertThat(noted.await(10, TimeUnit.SECONDS)).isTrue();
  }

  private static void awaitSignal(CountDownLatch stopped) {
    try {
      Shutdown.awaitSignal(
          () -> {
            ROOT.info("stopping for SIG");
            stopped.countDown();
          });
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void raise(String name) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    signal
        .getMethod("raise", signal)
        .invoke(null, signal.getConstructor(String.class).newInstance(name));
  }
}
