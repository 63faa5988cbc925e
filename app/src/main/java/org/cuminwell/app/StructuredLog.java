package org.cuminwell.app;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes log lines as JSON, one object a line, so that programs can read them. Thread safe. */
final class StructuredLog extends Formatter {

  private StructuredLog() {}

  /** Makes every logger of the process write to standard error in this form. */
  static void install() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(new StructuredLog());
    console.setLevel(Level.INFO);
    root.addHandler(console);
  }

  @Override
  public String format(LogRecord line) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("time", line.getInstant().toString());
    node.put("level", line.getLevel().getName());
    node.put("logger", line.getLoggerName());
    node.put("message", formatMessage(line));
    Throwable thrown = line.getThrown();
    if (thrown != null) {
      node.put("error", thrown.toString());
    }
    return node + "\n";
  }
}
