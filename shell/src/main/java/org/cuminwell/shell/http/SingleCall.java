package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.ConnectHttp;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;
import org.cuminwell.core.model.HostAddress;

/**
 * Sends one request over a connection of its own.
 *
 * <p>Therefore a failure to connect means that the request has not run, a response can't be
 * mistaken for that of another request, and aborting the call closes its connection. Thread safe.
 */
public final class SingleCall {

  private final SharedKillSwitch killSwitch = KillSwitches.shared("call");

  /** Returns client settings with TCP keep-alive probes and a limit for response heads. */
  public static ClientConnectionSettings clientSettings(HttpSystem http, Duration connectTimeout) {
    return ClientConnectionSettings.create(http.actorSystem())
        .withConnectingTimeout(
            scala.concurrent.duration.Duration.fromNanos(connectTimeout.toNanos()))
        .withSocketOptions(List.of(new TcpKeepAlive()))
        .withTransport(new BoundedHeadTransport());
  }

  /**
   * Sends the request; the stage completes when the response head has been received.
   *
   * <p>The request stream stays open until the call is aborted, since a completed stream can no
   * longer be aborted.
   */
  public CompletionStage<HttpResponse> send(
      HttpSystem http,
      ClientConnectionSettings settings,
      HostAddress address,
      HttpRequest request) {
    ConnectHttp target = ConnectHttp.toHost("http://" + address.host(), address.port());
    return Source.single(request)
        .concat(Source.<HttpRequest>maybe())
        .via(killSwitch.flow())
        .via(
            http.http()
                .outgoingConnection(target, Optional.empty(), settings, http.actorSystem().log()))
        .runWith(Sink.head(), http.actorSystem());
  }

  /** Closes the connection at once, so that the endpoint stops working on the request. */
  public void abort(RuntimeException reason) {
    killSwitch.abort(reason);
  }

  /**
   * Returns the failure for an error of {@link #send}. The verdict is not run only if no connection
   * was established.
   */
  public static Failure failureOf(Throwable error) {
    Throwable cause = rootCause(error);
    if (cause instanceof StreamTcpException
        && String.valueOf(cause.getMessage()).contains("Connect(")) {
      return Failure.notRun(
          ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint could not be established");
    }
    if (cause instanceof MalformedResponseException) {
      return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, String.valueOf(cause.getMessage()));
    }
    return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint failed");
  }

  /** Returns whether an error of {@link #send} says that the endpoint sent no valid response. */
  public static boolean isMalformedResponse(Throwable error) {
    return rootCause(error) instanceof MalformedResponseException;
  }

  private static Throwable rootCause(Throwable error) {
    Throwable cause = error;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
