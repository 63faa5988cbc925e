package org.cuminwell.shell.control;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Serves a control host's questions and orders in another form, at an address of its own.
 *
 * <p>Immutable and thread safe.
 */
public record AddedFront(HostAddress address, Maker maker) {

  /** Makes the handler of requests, whose stages never fail. */
  @FunctionalInterface
  public interface Maker {

    /** Returns a handler that puts its requests to {@code requests}. */
    Function<HttpRequest, CompletionStage<HttpResponse>> make(
        HttpSystem http, ControlRequests requests);
  }
}
