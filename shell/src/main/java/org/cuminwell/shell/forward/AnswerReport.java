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
import org.cuminwell.core.forward.ForwardEnd;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/**
 * Reports the first part and the end of an answer that passes through.
 *
 * <p>Invariant: the end is reported once. Thread safe; each materialization has a state of its own.
 */
final class AnswerReport extends GraphStage<FlowShape<ByteString, ByteString>> {

  private final Runnable began;
  private final Consumer<ForwardEnd> ended;
  private final Inlet<ByteString> in = Inlet.create("AnswerReport.in");
  private final Outlet<ByteString> out = Outlet.create("AnswerReport.out");

  AnswerReport(Runnable began, Consumer<ForwardEnd> ended) {
    this.began = began;
    this.ended = ended;
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

    private boolean begun;
    private boolean over;

    Logic() {
      super(AnswerReport.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              if (!begun) {
                begun = true;
                began.run();
              }
              push(out, grab(in));
            }

            @Override
            public void onUpstreamFinish() {
              report(new ForwardEnd.Completed());
              completeStage();
            }

            @Override
            public void onUpstreamFailure(Throwable error) {
              report(
                  new ForwardEnd.Broken(
                      Failure.ran(ErrorCode.INCOMPLETE_ANSWER, "the answer broke off")));
              failStage(error);
            }
          });
      setHandler(
          out,
          new AbstractOutHandler() {
            @Override
            public void onPull() {
              pull(in);
            }

            @Override
            public void onDownstreamFinish(Throwable cause) {
              report(new ForwardEnd.CallerLeft());
              cancelStage(cause);
            }
          });
    }

    @Override
    public void postStop() {
      report(new ForwardEnd.CallerLeft());
    }

    private void report(ForwardEnd end) {
      if (!over) {
        over = true;
        ended.accept(end);
      }
    }
  }
}
