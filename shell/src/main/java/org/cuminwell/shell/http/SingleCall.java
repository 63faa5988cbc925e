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
 * Carries one request over a connection of its own.
 *
 * <p>So a connection that could not be made means that the request has not run, no answer can cross
 * to another request, and what went silent is closed with its call. Thread safe.
 */
public final class SingleCall {

  private final SharedKillSwitch killSwitch = KillSwitches.shared("call");

  /** Returns settings with which quiet connections are probed and heads are bounded. */
  public static ClientConnectionSettings clientSettings(HttpSystem http, Duration connectTimeout) {
    return ClientConnectionSettings.create(http.actors())
        .withConnectingTimeout(
            scala.concurrent.duration.Duration.fromNanos(connectTimeout.toNanos()))
        .withSocketOptions(List.of(new TcpKeepAlive()))
        .withTransport(new BoundedHeadTransport());
  }

  /**
   * Sends the request, and returns the answer once its headers have come.
   *
   * <p>The sending side is kept open until the call is aborted, since only an open side can be.
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
            http.http().outgoingConnection(target, Optional.empty(), settings, http.actors().log()))
        .runWith(Sink.head(), http.actors());
  }

  /** Closes the connection at once, so that the other end stops working for it. */
  public void abort(RuntimeException why) {
    killSwitch.abort(why);
  }

  /** Returns the failure of a call whose connection failed with {@code error}. */
  public static Failure failureOf(Throwable error) {
    Throwable cause = error;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof StreamTcpException
        && String.valueOf(cause.getMessage()).contains("Connect(")) {
      return Failure.notRun(ErrorCode.ENDPOINT_FAILED, "the endpoint takes no connection");
    }
    if (cause instanceof MalformedResponseException) {
      return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, String.valueOf(cause.getMessage()));
    }
    return Failure.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the connection to the endpoint broke");
  }
}
