package org.cuminwell.shell.forward;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaType;
import org.apache.pekko.http.javadsl.model.MediaTypes;
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

/**
 * Passes a stream of server-sent events through unchanged, and fails it if it ends within an event.
 *
 * <p>A response without a length ends with its connection, so that nothing else tells a broken
 * stream from a whole one. Thread safe; each materialization has its own state.
 */
final class EventBoundaryCheck extends GraphStage<FlowShape<ByteString, ByteString>> {

  private final Inlet<ByteString> in = Inlet.create("EventBoundaryCheck.in");
  private final Outlet<ByteString> out = Outlet.create("EventBoundaryCheck.out");

  /** Returns whether the response holds events, as far as its content type tells. */
  static boolean appliesTo(HttpResponse response) {
    MediaType type = response.entity().getContentType().mediaType();
    return response.status().isSuccess()
        && (type.equals(MediaTypes.TEXT_EVENT_STREAM)
            || type.equals(MediaTypes.APPLICATION_OCTET_STREAM));
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
    private boolean isInEvent;

    Logic() {
      super(EventBoundaryCheck.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              ByteString part = grab(in);
              if (!part.isEmpty()) {
                isInEvent = scanner.scan(part.toArrayUnsafe(), 0) < part.length();
              }
              push(out, part);
            }

            @Override
            public void onUpstreamFinish() {
              if (isInEvent) {
                failStage(new CallEndedException("the event stream ended within an event"));
              } else {
                completeStage();
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
  }
}
