package org.cuminwell.shell.http;

/**
 * Tells a {@link ResponseHeadStage} when a response of its connection is awaited.
 *
 * <p>Thread safe.
 */
final class ResponseGate {

  private int responsesExpected;
  private boolean awaiting;
  private Runnable onNothingExpected = () -> {};

  /** Announces a response; to be called before its request is sent. */
  synchronized void expectResponse() {
    responsesExpected++;
    awaiting = true;
  }

  /** Announces that the latest response was received whole. */
  void expectNothing() {
    Runnable listener;
    synchronized (this) {
      awaiting = false;
      listener = onNothingExpected;
    }
    listener.run();
  }

  /** Sets what runs whenever no response is expected any more. */
  synchronized void setListener(Runnable listener) {
    onNothingExpected = listener;
  }

  /** Returns whether a response is awaited or being received. */
  synchronized boolean isAwaiting() {
    return awaiting;
  }

  /** Returns the number of responses announced so far, which identifies the latest one. */
  synchronized int responsesExpected() {
    return responsesExpected;
  }
}
