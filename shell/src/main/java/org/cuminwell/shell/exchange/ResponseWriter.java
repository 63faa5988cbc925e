package org.cuminwell.shell.exchange;

/**
 * Writes the response to one request.
 *
 * <p>Either {@link #respond} is called once, or {@link #start}, then {@link #write} for each part,
 * and {@link #end} or {@link #abort} at last. Calls after the end, or after the peer has
 * disconnected, have no effect. Not thread safe: confined to the event loop of the connection.
 */
public interface ResponseWriter {

  /** Writes a whole response. */
  void respond(ResponseMessage response);

  /** Writes the head of a response whose body follows. */
  void start(ResponseStart head);

  /** Writes the next part of the body. */
  void write(byte[] part);

  /** Ends the body, which was written whole. */
  void end();

  /** Closes the connection, so that the peer can tell that the body is incomplete. */
  void abort();

  /** Returns whether more can be written without the written bytes piling up in memory. */
  boolean isWritable();

  /** Sets what runs each time when the response becomes writable again. */
  void onWritable(Runnable task);
}
