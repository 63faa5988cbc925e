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
 * Passes a stream of server-sent events on by whole events, so that another endpoint can go on
 * after the last one.
 *
 * <p>A stream that ends within an event fails, and so does one that goes on without events or with
 * more of them than were asked for. Invariants: events are reported before their bytes are passed
 * on; at most {@link #MAX_BYTES_WITHOUT_EVENT} and one part are held. Thread safe; each
 * materialization has a state of its own.
 */
final class EventFraming extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** The most that may come without an event that has an id. */
  static final int MAX_BYTES_WITHOUT_EVENT = 64 * 1024;

  private final Consumer<ByteString> onEvents;
  private final long maxEvents;
  private final Inlet<ByteString> in = Inlet.create("EventFraming.in");
  private final Outlet<ByteString> out = Outlet.create("EventFraming.out");

  /**
   * Makes a stage that reports the whole events that it passes on.
   *
   * @param maxEvents how many events with an id an answer may have
   */
  EventFraming(Consumer<ByteString> events, long maxEvents) {
    this.onEvents = events;
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
                failStage(new CallEndedException("the stream ended within an event"));
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

    private void passWholeEvents(ByteString part) {
      ByteString all = incompleteEvent.isEmpty() ? part : incompleteEvent.concat(part);
      int end = scanner.scan(all.toArrayUnsafe(), incompleteEvent.length());
      if (scanner.eventCount() > maxEvents) {
        failStage(new OverlongResponseException());
      } else if (scanner.bytesSinceEvent() > MAX_BYTES_WITHOUT_EVENT) {
        failStage(new MalformedResponseException("the endpoint sent a stream without events"));
      } else if (end == 0) {
        incompleteEvent = all;
        pull(in);
      } else {
        boolean isWhole = end == all.length();
        incompleteEvent = isWhole ? ByteString.emptyByteString() : all.drop(end).compact();
        ByteString whole = isWhole ? all : all.take(end);
        onEvents.accept(whole);
        push(out, whole);
      }
    }
  }
}
