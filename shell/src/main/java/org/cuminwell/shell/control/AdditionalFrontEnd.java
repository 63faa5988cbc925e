package org.cuminwell.shell.control;

import org.cuminwell.core.model.HostAddress;

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

    /** Returns a handler that passes commands and queries to {@code requests}. */
    FrontEndHandler createHandler(ControlRequests requests);
  }
}
