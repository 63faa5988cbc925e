package org.cuminwell.shell.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminwell.core.forward.ForwardAction;
import org.cuminwell.core.forward.ForwardAttemptOutcome;
import org.cuminwell.core.forward.ForwardEvent;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.exchange.ClientCall;
import org.cuminwell.shell.exchange.ClientConnections;
import org.cuminwell.shell.exchange.RequestMessage;
import org.jspecify.annotations.Nullable;

/**
 * Sends attempts to endpoints, through a relay gateway where the action names one.
 *
 * <p>Progress and end of each attempt are reported through {@link ForwardAttempt}. Confined to the
 * event loop of the exchanges.
 */
final class ForwardClient {

  private final EventLoop loop;
  private final ForwardDialect dialect;
  private final ClientConnections connections;
  private final Consumer<ForwardEvent> events;

  ForwardClient(
      EventLoop loop,
      ClientConnections connections,
      ForwardDialect dialect,
      Consumer<ForwardEvent> events) {
    this.loop = loop;
    this.connections = connections;
    this.dialect = dialect;
    this.events = events;
  }

  /** Starts an attempt. If the request has been aborted nothing is sent. */
  void send(PendingForward call, ForwardAction.Send sendAction) {
    FirstByteTimer timer = new FirstByteTimer();
    ForwardAttempt attempt =
        new ForwardAttempt(
            sendAction, newCall(sendAction), events, dialect, call.head(), timer::cancel);
    if (!call.tryBegin(attempt)) {
      attempt.end(new ForwardAttemptOutcome.CallerDisconnected());
      return;
    }
    timer.start(attempt);
    attempt
        .call()
        .send(
            targetOf(sendAction),
            endpointRequest(call, sendAction),
            sendAction.isRepeatable(),
            attempt);
  }

  private ClientCall newCall(ForwardAction.Send sendAction) {
    return sendAction.relay().isPresent() ? connections.newRelayCall() : connections.newCall();
  }

  private static HostAddress targetOf(ForwardAction.Send sendAction) {
    return sendAction.relay().orElse(sendAction.address());
  }

  private RequestMessage endpointRequest(PendingForward call, ForwardAction.Send sendAction) {
    Optional<String> resumeAfter =
        sendAction.isResumption() ? call.lastEventId() : Optional.empty();
    RequestMessage request =
        dialect.endpointRequest(call.request(), call.head(), sendAction, resumeAfter);
    return sendAction.relay().isPresent()
        ? RelayHeaders.addRelayTarget(request, sendAction)
        : request;
  }

  /** Reports while no response head is received in time. Confined to the event loop. */
  private final class FirstByteTimer {

    private @Nullable Future<?> running;

    void start(ForwardAttempt attempt) {
      ForwardAction.Send sendAction = attempt.sendAction();
      if (sendAction.firstByteTimeout().compareTo(sendAction.timeLeft()) < 0) {
        running =
            loop.schedule(
                () -> reportIfWaiting(attempt),
                sendAction.firstByteTimeout().toNanos(),
                TimeUnit.NANOSECONDS);
      }
    }

    private void reportIfWaiting(ForwardAttempt attempt) {
      if (attempt.isWaiting()) {
        start(attempt);
        attempt.reportSilence();
      }
    }

    void cancel() {
      if (running != null) {
        running.cancel(false);
      }
    }
  }
}
