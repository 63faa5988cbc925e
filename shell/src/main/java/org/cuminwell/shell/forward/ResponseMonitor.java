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
 * <p>Invariant: the end is reported once; the pace at most once in each {@link #GAP_PERIOD}. Thread
 * safe; each materialization has a state of its own.
 */
final class ResponseMonitor extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** Over how long the pace of an answer is taken. */
  static final Duration GAP_PERIOD = Duration.ofMillis(200);

  private final InstantSource time;
  private final Runnable onFirstPart;
  private final Consumer<Duration> onMeanGap;
  private final Consumer<ForwardAttemptOutcome> onEnd;
  private final Inlet<ByteString> in = Inlet.create("ResponseMonitor.in");
  private final Outlet<ByteString> out = Outlet.create("ResponseMonitor.out");

  /**
   * Makes a stage.
   *
   * @param began is told of the first part
   * @param pace is told the mean time between later parts
   * @param ended is told how the answer ended
   */
  ResponseMonitor(
      InstantSource time,
      Runnable began,
      Consumer<Duration> pace,
      Consumer<ForwardAttemptOutcome> ended) {
    this.time = time;
    this.onFirstPart = began;
    this.onMeanGap = pace;
    this.onEnd = ended;
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

    private Instant periodStart = Instant.MIN;
    private int partsInPeriod;
    private boolean endReported;

    Logic() {
      super(ResponseMonitor.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              recordPart(time.instant());
              push(out, grab(in));
            }

            @Override
            public void onUpstreamFinish() {
              reportEnd(new ForwardAttemptOutcome.Completed());
              completeStage();
            }

            @Override
            public void onUpstreamFailure(Throwable error) {
              reportEnd(new ForwardAttemptOutcome.Failed(ResponseFailures.of(error)));
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
              reportEnd(new ForwardAttemptOutcome.CallerDisconnected());
              cancelStage(cause);
            }
          });
    }

    @Override
    public void postStop() {
      reportEnd(new ForwardAttemptOutcome.CallerDisconnected());
    }

    private void recordPart(Instant now) {
      if (periodStart.equals(Instant.MIN)) {
        periodStart = now;
        onFirstPart.run();
        return;
      }
      partsInPeriod++;
      Duration taken = Duration.between(periodStart, now);
      if (taken.compareTo(GAP_PERIOD) >= 0) {
        onMeanGap.accept(taken.dividedBy(partsInPeriod));
        periodStart = now;
        partsInPeriod = 0;
      }
    }

    private void reportEnd(ForwardAttemptOutcome end) {
      if (!endReported) {
        endReported = true;
        onEnd.accept(end);
      }
    }
  }
}
