package org.cuminwell.shell.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.gateway.AttemptEnd;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.RequestId;
import org.cuminwell.shell.http.HttpAnswers;

/**
 * Passes a streamed answer on and reports how it ended, once.
 *
 * <p>An answer that stops before its terminal marker gets an error event in its place, so that it
 * can't be taken for a whole one. Immutable and thread safe; each run has its own state.
 */
final class AnswerStage extends GraphStage<FlowShape<ByteString, ByteString>> {

  private final Inlet<ByteString> in = Inlet.create("AnswerStage.in");
  private final Outlet<ByteString> out = Outlet.create("AnswerStage.out");
  private final FlowShape<ByteString, ByteString> shape = FlowShape.of(in, out);
  private final RequestId id;
  private final CompletableFuture<Failure> cancelled;
  private final Consumer<AttemptEnd> ended;

  AnswerStage(RequestId id, CompletableFuture<Failure> cancelled, Consumer<AttemptEnd> ended) {
    this.id = id;
    this.cancelled = cancelled;
    this.ended = ended;
  }

  @Override
  public FlowShape<ByteString, ByteString> shape() {
    return shape;
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  private final class Logic extends GraphStageLogic {

    private final AnswerCheck check = new AnswerCheck();
    private boolean reported;

    Logic() {
      super(shape);
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              ByteString bytes = grab(in);
              check.read(bytes.toArray());
              push(out, bytes);
            }

            @Override
            public void onUpstreamFinish() {
              finish("the answer ended before its terminal marker");
            }

            @Override
            public void onUpstreamFailure(Throwable error) {
              finish("the connection to the endpoint broke off");
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
              report(new AttemptEnd.CallerLeft(check.usage()));
              cancelStage(cause);
            }
          });
    }

    @Override
    public void preStart() {
      AsyncCallback<Failure> cut = createAsyncCallback(this::cut);
      var _ = cancelled.thenAccept(cut::invoke);
    }

    @Override
    public void postStop() {
      report(new AttemptEnd.CallerLeft(check.usage()));
    }

    private void finish(String problem) {
      if (check.isWhole()) {
        report(new AttemptEnd.Completed(check.usage()));
        completeStage();
        return;
      }
      fail(Failure.mayHaveRun(ErrorCode.INCOMPLETE_ANSWER, problem));
    }

    private void cut(Failure failure) {
      cancel(in);
      fail(failure);
    }

    private void fail(Failure failure) {
      report(new AttemptEnd.Failed(failure, check.usage()));
      emit(out, errorEvent(failure), this::completeStage);
    }

    private ByteString errorEvent(Failure failure) {
      return ByteString.fromString("\n\ndata: " + HttpAnswers.errorBody(id, failure) + "\n\n");
    }

    private void report(AttemptEnd end) {
      if (!reported) {
        reported = true;
        ended.accept(end);
      }
    }
  }
}
