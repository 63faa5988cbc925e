package org.cuminwell.shell.control;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.shell.http.HttpSystem;

/**
 * Describes a further HTTP front end of a control host: it offers the host's queries and commands
 * in another format, at its own address.
 *
 * <p>Immutable and thread safe.
 *
 * @param address the address that the front end listens on
 * @param handlerFactory creates the request handler when the control host starts
 */
public record AdditionalFrontEnd(HostAddress address, HandlerFactory handlerFactory) {

  /** Creates the request handler of a front end. */
  @FunctionalInterface
  public interface HandlerFactory {

    /**
     * Returns a handler that passes commands and queries to {@code requests}. The stages that the
     * handler returns never complete exceptionally.
     */
    Function<HttpRequest, CompletionStage<HttpResponse>> createHandler(
        HttpSystem http, ControlRequests requests);
  }
}
