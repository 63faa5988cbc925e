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
import org.cuminwell.shell.http.CallOverException;

/**
 * Passes a stream of server-sent events on by whole events, so that another endpoint can go on
 * after the last one.
 *
 * <p>A stream that ends within an event fails. Invariant: events are reported before their bytes
 * are passed on. Thread safe; each materialization has a state of its own.
 */
final class EventFraming extends GraphStage<FlowShape<ByteString, ByteString>> {

  private static final ByteString EVENT_END = ByteString.fromString("\n\n");
  private final Consumer<ByteString> events;
  private final Inlet<ByteString> in = Inlet.create("EventFraming.in");
  private final Outlet<ByteString> out = Outlet.create("EventFraming.out");

  /** Makes a stage that reports the whole events that it passes on. */
  EventFraming(Consumer<ByteString> events) {
    this.events = events;
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

    private ByteString rest = ByteString.emptyByteString();

    Logic() {
      super(EventFraming.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              pass(grab(in));
            }

            @Override
            public void onUpstreamFinish() {
              if (rest.isEmpty()) {
                completeStage();
              } else {
                failStage(new CallOverException("the stream ended within an event"));
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

    private void pass(ByteString part) {
      ByteString all = rest.isEmpty() ? part : rest.concat(part);
      int end = lastEventEnd(all);
      if (end == 0) {
        rest = all;
        pull(in);
        return;
      }
      boolean isWhole = end == all.length();
      rest = isWhole ? ByteString.emptyByteString() : all.drop(end).compact();
      ByteString whole = isWhole ? all : all.take(end);
      events.accept(whole);
      push(out, whole);
    }
  }

  /** Returns the index after the last whole event, 0 if there is none. */
  private static int lastEventEnd(ByteString bytes) {
    byte[] all = bytes.toArrayUnsafe();
    for (int i = all.length - EVENT_END.length(); i >= 0; i--) {
      if (all[i] == '\n' && all[i + 1] == '\n') {
        return i + EVENT_END.length();
      }
    }
    return 0;
  }
}
