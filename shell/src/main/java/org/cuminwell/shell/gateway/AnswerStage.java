package org.cuminwell.shell.gateway;

import java.time.Duration;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.gateway.AttemptOutcome;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.http.HttpResponses;

/**
 * Passes the checked parts of a streamed answer on and reports its begin and its end.
 *
 * <p>A fault before the first part is passed on leaves the stream empty, so that another attempt
 * can be made. After that an error event takes the place of the rest, so that it can't be taken for
 * a whole answer. Silence counts only while the caller is ready for more. Immutable and thread
 * safe; each run has its own state.
 */
final class AnswerStage extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** After one to two of these without a byte the endpoint counts as silent. */
  static final Duration SILENCE_PERIOD = Duration.ofSeconds(20);

  private final Inlet<ByteString> in = Inlet.create("AnswerStage.in");
  private final Outlet<ByteString> out = Outlet.create("AnswerStage.out");
  private final FlowShape<ByteString, ByteString> shape = FlowShape.of(in, out);
  private final EndpointAttempt attempt;

  AnswerStage(EndpointAttempt attempt) {
    this.attempt = attempt;
  }

  @Override
  public FlowShape<ByteString, ByteString> shape() {
    return shape;
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  private final class Logic extends TimerGraphStageLogic {

    private final AnswerCheck check = new AnswerCheck();
    private boolean begun;
    private boolean heard;

    Logic() {
      super(shape);
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              heard = true;
              pass(check.read(grab(in).toArrayUnsafe()));
            }

            @Override
            public void onUpstreamFinish() {
              finish();
            }

            @Override
            public void onUpstreamFailure(Throwable error) {
              fail("the connection to the endpoint broke off");
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
              attempt.ended(new AttemptOutcome.CallerDisconnected(check.usage()));
              attempt.closeConnection();
              cancelStage(cause);
            }
          });
    }

    @Override
    public void preStart() {
      AsyncCallback<Failure> cut = createAsyncCallback((Failure failure) -> fail(failure));
      var _ = attempt.cut().thenAccept(cut::invoke);
      scheduleAtFixedRate("silence", SILENCE_PERIOD, SILENCE_PERIOD);
    }

    @Override
    public void onTimer(Object key) {
      if (begun && !heard && hasBeenPulled(in)) {
        fail("the endpoint went silent");
        return;
      }
      heard = false;
    }

    @Override
    public void postStop() {
      attempt.ended(new AttemptOutcome.CallerDisconnected(check.usage()));
    }

    private void pass(byte[] cleared) {
      if (cleared.length > 0) {
        if (!begin()) {
          return;
        }
        push(out, ByteString.fromArrayUnsafe(cleared));
      }
      if (check.fault().isPresent()) {
        fail(check.fault().get());
      } else if (cleared.length == 0) {
        pull(in);
      }
    }

    private void finish() {
      byte[] last = check.end();
      if (check.fault().isPresent()) {
        fail(check.fault().get());
        return;
      }
      if (begin()) {
        attempt.ended(new AttemptOutcome.Completed(check.usage()));
        emit(out, ByteString.fromArrayUnsafe(last), this::completeStage);
      }
    }

    /** Returns whether this attempt may answer; if not, it was given up and stops. */
    private boolean begin() {
      if (!begun && !attempt.tryAnswer()) {
        completeStage();
        return false;
      }
      begun = true;
      return true;
    }

    private void fail(String problem) {
      fail(Failure.mayHaveRun(ErrorCode.INCOMPLETE_ANSWER, problem));
    }

    private void fail(Failure failure) {
      attempt.ended(new AttemptOutcome.Failed(failure, check.usage()));
      attempt.closeConnection();
      if (begun) {
        emit(out, errorEvent(failure), this::completeStage);
      } else {
        completeStage();
      }
    }

    private ByteString errorEvent(Failure failure) {
      return ByteString.fromString(
          "\n\ndata: " + HttpResponses.errorBody(attempt.id(), failure) + "\n\n");
    }
  }
}
