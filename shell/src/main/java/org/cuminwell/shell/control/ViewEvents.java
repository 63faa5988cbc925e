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
 * <p>A state is sent when it differs from the last one sent, and otherwise an event {@code alive}
 * from time to time, by which the screen tells silence from a broken connection. A screen that does
 * not keep up skips states, so nothing piles up. Thread safe; each stream has its own state.
 */
final class ViewEvents {

  private static final Duration LOOK_PERIOD = Duration.ofMillis(250);
  private static final int LOOKS_BETWEEN_ALIVE = 8;

  private Optional<ControlView> sent = Optional.empty();
  private int idleLooks;

  private ViewEvents() {}

  /** Returns the events of one screen. */
  static Source<ByteString, Cancellable> of(Supplier<ControlView> view) {
    return Source.tick(Duration.ZERO, LOOK_PERIOD, NotUsed.getInstance())
        .statefulMapConcat(
            () -> {
              ViewEvents events = new ViewEvents();
              return look -> events.next(view.get());
            });
  }

  private List<ByteString> next(ControlView view) {
    if (sent.filter(last -> last.equals(view)).isEmpty()) {
      sent = Optional.of(view);
      idleLooks = 0;
      return List.of(ByteString.fromString("data: " + ViewJson.screen(view) + "\n\n"));
    }
    idleLooks++;
    if (idleLooks % LOOKS_BETWEEN_ALIVE != 0) {
      return List.of();
    }
    return List.of(ByteString.fromString("event: alive\ndata: " + Instant.now() + "\n\n"));
  }
}
