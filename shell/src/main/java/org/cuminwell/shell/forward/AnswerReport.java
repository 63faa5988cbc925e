package org.cuminwell.shell.forward;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
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
import org.cuminwell.core.forward.ForwardAttemptOutcome;

/**
 * Reports the first part, the pace and the end of an answer that passes through.
 *
 * <p>Invariant: the end is reported once; the pace at most once in each {@link #PACE_PERIOD}.
 * Thread safe; each materialization has a state of its own.
 */
final class AnswerReport extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** Over how long the pace of an answer is taken. */
  static final Duration PACE_PERIOD = Duration.ofMillis(200);

  private final InstantSource time;
  private final Runnable began;
  private final Consumer<Duration> pace;
  private final Consumer<ForwardAttemptOutcome> ended;
  private final Inlet<ByteString> in = Inlet.create("AnswerReport.in");
  private final Outlet<ByteString> out = Outlet.create("AnswerReport.out");

  /**
   * Makes a stage.
   *
   * @param began is told of the first part
   * @param pace is told the mean time between later parts
   * @param ended is told how the answer ended
   */
  AnswerReport(
      InstantSource time,
      Runnable began,
      Consumer<Duration> pace,
      Consumer<ForwardAttemptOutcome> ended) {
    this.time = time;
    this.began = began;
    this.pace = pace;
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

    private Instant pacedFrom = Instant.MIN;
    private int parts;
    private boolean over;

    Logic() {
      super(AnswerReport.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              arrived(time.instant());
              push(out, grab(in));
            }

            @Override
            public void onUpstreamFinish() {
              report(new ForwardAttemptOutcome.Completed());
              completeStage();
            }

            @Override
            public void onUpstreamFailure(Throwable error) {
              report(new ForwardAttemptOutcome.Failed(AnswerFailures.of(error)));
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
              report(new ForwardAttemptOutcome.CallerDisconnected());
              cancelStage(cause);
            }
          });
    }

    @Override
    public void postStop() {
      report(new ForwardAttemptOutcome.CallerDisconnected());
    }

    private void arrived(Instant now) {
      if (pacedFrom.equals(Instant.MIN)) {
        pacedFrom = now;
        began.run();
        return;
      }
      parts++;
      Duration taken = Duration.between(pacedFrom, now);
      if (taken.compareTo(PACE_PERIOD) >= 0) {
        pace.accept(taken.dividedBy(parts));
        pacedFrom = now;
        parts = 0;
      }
    }

    private void report(ForwardAttemptOutcome end) {
      if (!over) {
        over = true;
        ended.accept(end);
      }
    }
  }
}
