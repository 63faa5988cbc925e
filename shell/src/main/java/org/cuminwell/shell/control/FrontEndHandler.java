package org.cuminwell.shell.control;

import java.util.concurrent.CompletionStage;
import org.cuminwell.core.model.Failure;
import org.cuminwell.shell.exchange.ResponseMessage;

/** Handles the requests to an additional front end. Implementations are thread safe. */
public interface FrontEndHandler {

  /** Handles one request without blocking; the stage never fails. */
  CompletionStage<ResponseMessage> handle(FrontEndRequest request);

  /** Returns the response to a request that could not be read. */
  ResponseMessage unreadable(Failure failure);
}
