package org.cuminwell.shell.exchange;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Gathers a response, for callers that want it whole.
 *
 * <p>The body is kept in memory whatever its size. Confined to an event loop, but {@link #future}
 * is thread safe.
 */
public final class WholeResponse implements ResponseReceiver {

  private final CompletableFuture<Optional<ResponseMessage>> future = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable ResponseStart head;

  /** Returns a future for the response; empty if there was no whole one. */
  public CompletableFuture<Optional<ResponseMessage>> future() {
    return future;
  }

  @Override
  public void onHead(ResponseStart start) {
    head = start;
  }

  @Override
  public void onPart(byte[] part) {
    body.writeBytes(part);
  }

  @Override
  public void onEnd() {
    future.complete(
        Optional.ofNullable(head)
            .map(h -> new ResponseMessage(h.status(), h.headers(), body.toByteArray())));
  }

  @Override
  public void onFailure(CallFailure failure) {
    future.complete(Optional.empty());
  }
}
