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
 * Passes a response body through unchanged and reports its first part, the mean gap between its
 * later parts, and its outcome.
 *
 * <p>Invariants: the outcome is reported once; the mean gap at most once in each {@link
 * #GAP_PERIOD}. Thread safe; each materialization has its own state.
 */
final class ResponseMonitor extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** The minimum period over which a mean gap is measured. */
  static final Duration GAP_PERIOD = Duration.ofMillis(200);

  private final InstantSource time;
  private final Runnable onFirstPart;
  private final Consumer<Duration> onMeanGap;
  private final Consumer<ForwardAttemptOutcome> onEnd;
  private final Inlet<ByteString> in = Inlet.create("ResponseMonitor.in");
  private final Outlet<ByteString> out = Outlet.create("ResponseMonitor.out");

  /**
   * Creates a stage.
   *
   * @param onFirstPart runs when the first part arrives
   * @param onMeanGap receives the mean time between parts, once a period has passed
   * @param onEnd receives the outcome of the response
   */
  ResponseMonitor(
      InstantSource time,
      Runnable onFirstPart,
      Consumer<Duration> onMeanGap,
      Consumer<ForwardAttemptOutcome> onEnd) {
    this.time = time;
    this.onFirstPart = onFirstPart;
    this.onMeanGap = onMeanGap;
    this.onEnd = onEnd;
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
              reportEnd(AttemptFailures.inBody(error));
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

    /** Reports the first part, and the mean gap once a period has passed. */
    private void recordPart(Instant now) {
      if (periodStart.equals(Instant.MIN)) {
        periodStart = now;
        onFirstPart.run();
        return;
      }
      partsInPeriod++;
      Duration elapsed = Duration.between(periodStart, now);
      if (elapsed.compareTo(GAP_PERIOD) >= 0) {
        onMeanGap.accept(elapsed.dividedBy(partsInPeriod));
        periodStart = now;
        partsInPeriod = 0;
      }
    }

    /** Reports the outcome unless one has been reported. */
    private void reportEnd(ForwardAttemptOutcome outcome) {
      if (!endReported) {
        endReported = true;
        onEnd.accept(outcome);
      }
    }
  }
}
