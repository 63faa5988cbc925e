package org.cuminwell.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds that logging never waits for the output, and tells what it left out. */
final class StructuredLogTest {

  /** Takes nothing until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();

    @Override
    public void write(int b) {
      write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      taken.write(bytes, from, length);
    }

    synchronized String text() {
      return taken.toString(StandardCharsets.UTF_8);
    }
  }

  @ParameterizedTest(name = "{0} lines while the output is blocked")
  @ValueSource(ints = {10_000, 50_000})
  void dropsAndCountsLinesWhileTheOutputIsBlocked(int lines) throws InterruptedException {
    BlockedOutput output = new BlockedOutput();
    StructuredLog log = new StructuredLog(new PrintStream(output, false, StandardCharsets.UTF_8));
    for (int i = 0; i < lines; i++) {
      log.publish(new LogRecord(Level.INFO, "line " + i));
    }
    assertThat(log.dropped()).isPositive();
    output.released.countDown();
    while (!output.text().contains("lines dropped")) {
      log.publish(new LogRecord(Level.INFO, "after"));
      Thread.sleep(5);
    }
    log.close();
    assertThat(output.text()).contains("line 0");
  }

  @ParameterizedTest(name = "an error after {0} lines")
  @ValueSource(ints = {0, 1_000})
  void anErrorIsWrittenBeforeTheProcessCanEnd(int lines) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    StructuredLog log = new StructuredLog(new PrintStream(output, false, StandardCharsets.UTF_8));
    for (int i = 0; i < lines; i++) {
      log.publish(new LogRecord(Level.INFO, "line " + i));
    }
    log.publish(new LogRecord(Level.SEVERE, "the duty failed"));
    log.flush();
    String text = output.toString(StandardCharsets.UTF_8);
    log.close();
    assertThat(text).contains("the duty failed");
  }
}
