package org.cuminwell.shell.exchange;

/**
 * Receives the response to one request: its head, its parts, and either its end or a failure.
 *
 * <p>After the end or the failure nothing more is reported. Confined to the event loop of the
 * connection.
 */
public interface ResponseReceiver {

  /** Receives the head. */
  void onHead(ResponseStart head);

  /** Receives the next part of the body. */
  void onPart(byte[] part);

  /** Reports that the response was received whole. */
  void onEnd();

  /** Reports that there will be no whole response. */
  void onFailure(CallFailure failure);
}
