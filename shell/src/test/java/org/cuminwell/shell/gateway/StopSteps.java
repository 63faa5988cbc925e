package org.cuminwell.shell.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gathers the steps that stopping gateways log. Thread safe. */
final class StopSteps extends Handler {

  private static final Pattern STEP = Pattern.compile("\"stop\":\"([a-z_]+)\"");

  private final Logger logger = Logger.getLogger("org.cuminwell.stop");
  private final List<String> seen = new CopyOnWriteArrayList<>();

  StopSteps() {
    logger.addHandler(this);
  }

  List<String> seen() {
    return List.copyOf(seen);
  }

  @Override
  public void publish(LogRecord line) {
    Matcher step = STEP.matcher(line.getMessage());
    if (step.find()) {
      seen.add(step.group(1));
    }
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    logger.removeHandler(this);
  }
}
