package org.cuminwell.shell.control;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import org.cuminwell.core.control.ControlAction;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.Ring;

/**
 * Makes the calls of duties to the platform's API, one after another on a thread of its own.
 *
 * <p>A call is sent only if the lease under which it was decided lasts for as long as a connection
 * may take, also if the process was frozen in between. Thread safe.
 */
final class DutyClient implements AutoCloseable {

  /** The time for an answer, well above that of an API that works. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** Bounds how long after the check of the lease a request may be written. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private static final int RING_CAPACITY = 4;

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .followRedirects(HttpClient.Redirect.NEVER)
          .build();
  private final HostAddress api;
  private final DutyCallFormat format;
  private final InstantSource time;
  private final BiConsumer<DutyCall, DutyCall.Result> onEnded;
  private final Ring<ControlAction.CallPlatform> calls = new Ring<>(RING_CAPACITY);
  private final Duty<ControlAction.CallPlatform> duty;

  /** Starts the thread. {@code onEnded} receives the end of each call, on that thread. */
  DutyClient(
      HostAddress api,
      DutyCallFormat format,
      InstantSource time,
      BiConsumer<DutyCall, DutyCall.Result> onEnded) {
    this.api = api;
    this.format = format;
    this.time = time;
    this.onEnded = onEnded;
    this.duty = Duty.start("platform-calls", calls, this::perform);
  }

  /** Queues the call, or ends it at once if too many wait. */
  void enqueue(ControlAction.CallPlatform call) {
    if (!calls.offer(call)) {
      onEnded.accept(call.call(), new DutyCall.NotSent());
    }
  }

  /** Ends the thread; a call that is being made counts as unanswered. */
  @Override
  public void close() {
    duty.close();
    http.shutdownNow();
  }

  private void perform(ControlAction.CallPlatform action) {
    onEnded.accept(action.call(), send(action));
  }

  private DutyCall.Result send(ControlAction.CallPlatform action) {
    HttpRequest request = request(format.encode(action.call()));
    if (!time.instant().isBefore(action.startBefore().minus(CONNECT_TIMEOUT))) {
      return new DutyCall.NotSent();
    }
    // The timeout of the request ends with the head of the response, so the body needs its own.
    CompletableFuture<HttpResponse<Void>> response =
        http.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    try {
      return format.decode(
          response.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).statusCode());
    } catch (TimeoutException e) {
      response.cancel(true);
      return new DutyCall.Unanswered("no whole response within " + CALL_TIMEOUT.toMillis() + " ms");
    } catch (ExecutionException e) {
      return failed(e.getCause() == null ? e : e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new DutyCall.Unanswered("this host stops");
    }
  }

  private static DutyCall.Result failed(Throwable cause) {
    boolean isUnsent =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return isUnsent
        ? new DutyCall.Refused("no connection: " + cause.getMessage())
        : new DutyCall.Unanswered(String.valueOf(cause.getMessage()));
  }

  private HttpRequest request(DutyCallFormat.Request from) {
    HttpRequest.Builder to =
        HttpRequest.newBuilder(URI.create("http://" + api + from.path()))
            .timeout(CALL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(from.body()));
    from.headers().forEach(header -> to.header(header.name(), header.value()));
    return to.build();
  }
}
