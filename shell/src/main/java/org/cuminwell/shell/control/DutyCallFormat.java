package org.cuminwell.shell.control;

import java.util.List;
import org.cuminwell.core.duty.DutyCall;
import org.cuminwell.shell.exchange.Header;

/** Translates calls to the platform's API. Implementations are immutable and thread safe. */
public interface DutyCallFormat {

  /** Holds a POST request. */
  record Request(String path, List<Header> headers, String body) {}

  /** Returns the request that makes the call. */
  Request encode(DutyCall call);

  /** Returns what the status of the response says of the call. */
  DutyCall.Result decode(int status);
}
