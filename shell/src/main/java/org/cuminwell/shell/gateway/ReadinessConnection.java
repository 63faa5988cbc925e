package org.cuminwell.shell.gateway;

import java.util.function.BooleanSupplier;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.ExchangeHandler;
import org.cuminwell.shell.exchange.RequestMessage;
import org.cuminwell.shell.exchange.RequestTimes;
import org.cuminwell.shell.exchange.ResponseMessage;
import org.cuminwell.shell.exchange.ResponseWriter;
import org.cuminwell.shell.forward.ForwardDialect;

/** Answers the readiness probes of one connection. Stateless and thread safe. */
final class ReadinessConnection implements ExchangeHandler {

  private final ForwardDialect dialect;
  private final BooleanSupplier isReady;

  ReadinessConnection(ForwardDialect dialect, BooleanSupplier ready) {
    this.dialect = dialect;
    this.isReady = ready;
  }

  @Override
  public void onRequest(RequestMessage request, RequestTimes times, ResponseWriter writer) {
    writer.respond(dialect.readinessResponse(request, isReady.getAsBoolean()));
  }

  @Override
  public ResponseMessage unreadable(Failure failure) {
    return ResponseMessage.empty(failure.code().httpStatus());
  }

  @Override
  public void onDisconnected() {}
}
