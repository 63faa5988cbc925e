package org.cuminwell.shell.forward;

import java.util.function.Consumer;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.cuminwell.shell.http.CallEndedException;
import org.cuminwell.shell.http.MalformedResponseException;

/**
 * Passes a stream of server-sent events on by whole events, so that another endpoint can resume it
 * after the last one.
 *
 * <p>The stream fails if it ends within an event, exceeds {@link #MAX_BYTES_WITHOUT_EVENT} without
 * an event that has an id, or has more such events than allowed. Invariants: events are reported
 * before their bytes are passed on; at most {@link #MAX_BYTES_WITHOUT_EVENT} and one part are
 * buffered. Thread safe; each materialization has its own state.
 */
final class EventFraming extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** The maximum number of bytes that may arrive without an event that has an id. */
  static final int MAX_BYTES_WITHOUT_EVENT = 64 * 1024;

  private final Consumer<ByteString> onEvents;
  private final long maxEvents;
  private final Inlet<ByteString> in = Inlet.create("EventFraming.in");
  private final Outlet<ByteString> out = Outlet.create("EventFraming.out");

  /**
   * Creates a stage.
   *
   * @param onEvents receives the whole events that are about to be passed on
   * @param maxEvents the maximum number of events with an id
   */
  EventFraming(Consumer<ByteString> onEvents, long maxEvents) {
    this.onEvents = onEvents;
    this.maxEvents = maxEvents;
  }

  @Override
  public FlowShape<ByteString, ByteString> shape() {
    return FlowShape.of(in, out);
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  private final class Logic extends GraphStageLogic {

    private final EventScanner scanner = new EventScanner();
    private ByteString incompleteEvent = ByteString.emptyByteString();

    Logic() {
      super(EventFraming.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              passWholeEvents(grab(in));
            }

            @Override
            public void onUpstreamFinish() {
              if (incompleteEvent.isEmpty()) {
                completeStage();
              } else {
                failStage(new CallEndedException("the event stream ended within an event"));
              }
            }
          });
      setHandler(
          out,
          new AbstractOutHandler() {
            @Override
            public void onPull() {
              pull(in);
            }
          });
    }

    /** Passes on the whole events so far and keeps the rest; pulls again if there is none. */
    private void passWholeEvents(ByteString part) {
      ByteString available = incompleteEvent.isEmpty() ? part : incompleteEvent.concat(part);
      int end = scanner.scan(available.toArrayUnsafe(), incompleteEvent.length());
      if (scanner.eventCount() > maxEvents) {
        failStage(new OverlongResponseException());
      } else if (scanner.bytesSinceEvent() > MAX_BYTES_WITHOUT_EVENT) {
        failStage(
            new MalformedResponseException(
                "the endpoint sent too many bytes without an event that has an id"));
      } else if (end == 0) {
        incompleteEvent = available;
        pull(in);
      } else {
        boolean isWhole = end == available.length();
        incompleteEvent = isWhole ? ByteString.emptyByteString() : available.drop(end).compact();
        ByteString wholeEvents = isWhole ? available : available.take(end);
        onEvents.accept(wholeEvents);
        push(out, wholeEvents);
      }
    }
  }
}
