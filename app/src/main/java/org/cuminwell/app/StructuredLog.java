package org.cuminwell.app;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.Ring;

/**
 * Writes log lines as JSON, one object a line, so that programs can read them.
 *
 * <p>Lines go through a ring to a thread that writes, so that nobody who logs waits for the output.
 * Invariant: a line that finds no room is counted, and the count is written as soon as there is
 * room. Thread safe.
 */
final class StructuredLog extends Handler {

  private static final int RING = 4_096;
  private static final int MAX_BATCH = 64 * 1024;
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DRAIN_POLL = Duration.ofMillis(5);

  private final Ring<LogRecord> lines = new Ring<>(RING);
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private final LibraryLineLimit libraryLines = new LibraryLineLimit();
  private final Formatter formatter = new JsonLines();
  private final PrintStream out;
  private final Duty<LogRecord> writer;

  StructuredLog(PrintStream out) {
    this.out = out;
    this.writer = Duty.start("log", lines, this::write);
  }

  /** Makes every logger of the process write to standard output in this form. */
  static StructuredLog install() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    StructuredLog log = new StructuredLog(System.out);
    root.addHandler(log);
    // The library looks for a network card's address, which hosts need not have.
    Logger.getLogger("io.netty.util.internal").setLevel(Level.SEVERE);
    return log;
  }

  @Override
  public void publish(LogRecord line) {
    if (line.getLevel().intValue() < Level.INFO.intValue()
        || !libraryLines.allows(line.getLoggerName(), line.getInstant())) {
      return;
    }
    if (lines.offer(line)) {
      accepted.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Waits a moment until the lines so far are written; call it before the process ends. */
  @Override
  public void flush() {
    long end = System.nanoTime() + DRAIN_TIMEOUT.toNanos();
    long until = accepted.get();
    try {
      while (written.get() < until && System.nanoTime() < end) {
        Thread.sleep(DRAIN_POLL);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns how many lines found no room and are not told of yet. */
  long dropped() {
    return dropped.get();
  }

  @Override
  public void close() {
    writer.close();
  }

  private void write(LogRecord first) {
    StringBuilder batch = new StringBuilder();
    appendNote("lines dropped: ", dropped.getAndSet(0), batch);
    appendNote("lines of libraries left out: ", libraryLines.takeSuppressed(), batch);
    Optional<LogRecord> next = Optional.of(first);
    int taken = 0;
    while (next.isPresent()) {
      taken++;
      batch.append(formatter.format(next.get()));
      next = batch.length() < MAX_BATCH ? lines.poll() : Optional.empty();
    }
    byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
    written.addAndGet(taken);
  }

  private void appendNote(String text, long count, StringBuilder batch) {
    if (count > 0) {
      LogRecord note = new LogRecord(Level.WARNING, text + count);
      note.setLoggerName(StructuredLog.class.getName());
      batch.append(formatter.format(note));
    }
  }

  /** Makes one JSON object of a line; a message that is one already is taken apart. Stateless. */
  private static final class JsonLines extends Formatter {

    @Override
    public String format(LogRecord line) {
      ObjectNode node = JsonNodeFactory.instance.objectNode();
      node.put("time", line.getInstant().toString());
      node.put("level", line.getLevel().getName());
      node.put("logger", line.getLoggerName());
      String message = formatMessage(line);
      if (message.startsWith("{") && message.endsWith("}")) {
        String head = node.toString();
        return head.substring(0, head.length() - 1) + "," + message.substring(1) + "\n";
      }
      node.put("message", message);
      Throwable thrown = line.getThrown();
      if (thrown != null) {
        node.put("error", thrown.toString());
      }
      return node + "\n";
    }
  }
}
