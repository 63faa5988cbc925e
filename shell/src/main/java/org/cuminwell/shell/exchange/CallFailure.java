package org.cuminwell.shell.exchange;

/** Says why a call got no whole response. Immutable and thread safe. */
public sealed interface CallFailure {

  /** Reports that no connection was established, so that nothing has been sent. */
  record NotConnected() implements CallFailure {}

  /** Reports that what the peer sent is no acceptable response. */
  record Malformed(String message) implements CallFailure {}

  /** Reports that the connection ended before the response was whole. */
  record Broken() implements CallFailure {}

  /**
   * Reports that the connection ended within a response that came before the request was written
   * whole, so that the peer may not have received all of it.
   */
  record BrokenDuringUpload() implements CallFailure {}
}
