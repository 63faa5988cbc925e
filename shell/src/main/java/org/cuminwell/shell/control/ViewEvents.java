package org.cuminwell.shell.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.control.ControlView;
import org.cuminwell.wire.ViewJson;

/**
 * Streams the state to one operator's screen as server-sent events.
 *
 * <p>The state is polled, and sent when it differs from the last one sent. While it is unchanged,
 * an event {@code alive} with the current time is sent at intervals, so that the screen can
 * distinguish an idle stream from a broken connection. A slow screen skips states, so no backlog
 * builds up. Each stream has its own instance, which is not thread safe; {@link #stream} is.
 */
final class ViewEvents {

  private static final Duration POLL_PERIOD = Duration.ofMillis(250);
  private static final int POLLS_BETWEEN_ALIVE = 8;

  private Optional<ControlView> lastSent = Optional.empty();
  private int unchangedPolls;

  private ViewEvents() {}

  /** Returns a source that emits the events for one screen each time it is run. */
  static Source<ByteString, Cancellable> stream(Supplier<ControlView> view) {
    return Source.tick(Duration.ZERO, POLL_PERIOD, NotUsed.getInstance())
        .statefulMapConcat(
            () -> {
              ViewEvents events = new ViewEvents();
              return tick -> events.nextEvents(view.get());
            });
  }

  private List<ByteString> nextEvents(ControlView view) {
    if (lastSent.filter(last -> last.equals(view)).isEmpty()) {
      lastSent = Optional.of(view);
      unchangedPolls = 0;
      return List.of(ByteString.fromString("data: " + ViewJson.screen(view) + "\n\n"));
    }
    unchangedPolls++;
    if (unchangedPolls % POLLS_BETWEEN_ALIVE != 0) {
      return List.of();
    }
    return List.of(ByteString.fromString("event: alive\ndata: " + Instant.now() + "\n\n"));
  }
}
