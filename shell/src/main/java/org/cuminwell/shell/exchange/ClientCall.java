package org.cuminwell.shell.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request over a connection of {@link ClientConnections}.
 *
 * <p>A request that may run only once gets a connection of its own, since a kept one may have been
 * closed by the peer, which is noticed only when a request is sent. Any other is sent again over a
 * new connection if a kept one ends before a response. So in both cases a failure to connect means
 * that the request has not run. Invariants: the connection is either released or closed, once;
 * nothing is reported after that. Confined to the event loop of the exchanges.
 */
public final class ClientCall {

  /** Within which time a kept connection that the peer has closed must end to be replaced. */
  private static final Duration STALE_CONNECTION_TIMEOUT = Duration.ofMillis(500);

  private final ClientConnections connections;
  private final OptionalInt sendBufferBytes;
  private @Nullable ClientConnection connection;
  private boolean ended;

  ClientCall(ClientConnections connections, OptionalInt sendBufferBytes) {
    this.connections = connections;
    this.sendBufferBytes = sendBufferBytes;
  }

  /**
   * Sends the request.
   *
   * @param repeatable whether the request may run more than once
   */
  public void send(
      HostAddress address, RequestMessage request, boolean repeatable, ResponseReceiver receiver) {
    ClientConnection kept = repeatable ? connections.takeIdle(address).orElse(null) : null;
    if (kept == null) {
      sendOverNew(address, request, receiver);
      return;
    }
    connection = kept;
    Instant sentAt = connections.now();
    kept.send(request, new StaleCheck(address, request, receiver, sentAt));
  }

  /** Closes the connection at once, so that the peer stops working on the request. */
  public void abort() {
    ClientConnection used = end();
    if (used != null) {
      used.abort();
    }
  }

  /** Gives the connection back after the response was received whole. */
  public void release() {
    ClientConnection used = end();
    if (used != null) {
      connections.release(used);
    }
  }

  /** Stops or resumes reading the response, so that it does not pile up in memory. */
  public void setReading(boolean reading) {
    if (connection != null && !ended) {
      connection.setReading(reading);
    }
  }

  private void sendOverNew(HostAddress address, RequestMessage request, ResponseReceiver receiver) {
    connections.open(
        address,
        sendBufferBytes,
        (opened, isConnected) -> {
          if (ended) {
            opened.abort();
          } else if (isConnected) {
            connection = opened;
            opened.send(request, receiver);
          } else {
            receiver.onFailure(new CallFailure.NotConnected());
          }
        });
  }

  /** Ends the call; returns its connection the first time. */
  private @Nullable ClientConnection end() {
    ClientConnection used = ended ? null : connection;
    ended = true;
    return used;
  }

  /** Sends the request again if the peer had closed the kept connection when it was used. */
  private final class StaleCheck implements ResponseReceiver {

    private final HostAddress address;
    private final RequestMessage request;
    private final ResponseReceiver receiver;
    private final Instant sentAt;
    private boolean responded;

    StaleCheck(
        HostAddress address, RequestMessage request, ResponseReceiver receiver, Instant sentAt) {
      this.address = address;
      this.request = request;
      this.receiver = receiver;
      this.sentAt = sentAt;
    }

    @Override
    public void onHead(ResponseStart head) {
      responded = true;
      receiver.onHead(head);
    }

    @Override
    public void onPart(byte[] part) {
      receiver.onPart(part);
    }

    @Override
    public void onEnd() {
      receiver.onEnd();
    }

    @Override
    public void onFailure(CallFailure failure) {
      boolean isSoon =
          Duration.between(sentAt, connections.now()).compareTo(STALE_CONNECTION_TIMEOUT) < 0;
      if (failure instanceof CallFailure.Broken && !responded && isSoon && !ended) {
        connection = null;
        sendOverNew(address, request, receiver);
      } else {
        receiver.onFailure(failure);
      }
    }
  }
}
