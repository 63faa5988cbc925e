package org.cuminwell.shell.http;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.scaladsl.model.EntityStreamException;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;
import org.cuminwell.core.model.ErrorCode;
import org.cuminwell.core.model.Failure;

/** Reads whole request bodies within limits of size and time. Stateless and thread safe. */
public final class BodyReader {

  /** The maximum size of a body, in bytes. */
  public static final long MAX_BYTES = 8L * 1024 * 1024;

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private BodyReader() {}

  /**
   * Returns the whole body; the stage fails if the body is too large, takes too long or is
   * incomplete. {@link #failureOf} maps these errors.
   */
  public static CompletionStage<ByteString> read(HttpRequest request, ActorSystem system) {
    return request
        .entity()
        .withSizeLimit(MAX_BYTES)
        .toStrict(TIMEOUT.toMillis(), system)
        .thenApply(HttpEntity.Strict::getData);
  }

  /** Rejects the body without reading it. The connection can't be reused afterwards. */
  public static void leaveUnread(HttpRequest request, ActorSystem system) {
    request.entity().getDataBytes().runWith(Sink.cancelled(), system);
  }

  /** Returns the failure to report to a caller whose body could not be read. */
  public static Failure failureOf(Throwable error) {
    Throwable cause =
        error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    if (isTooLarge(cause)) {
      return Failure.notRun(
          ErrorCode.BODY_TOO_LARGE, "the body must be at most " + MAX_BYTES + " bytes");
    }
    if (cause instanceof TimeoutException) {
      return Failure.notRun(
          ErrorCode.BAD_REQUEST,
          "the body was not received within " + TIMEOUT.toSeconds() + " s; send it faster");
    }
    return Failure.notRun(ErrorCode.BAD_REQUEST, "the body was cut off; send it whole");
  }

  /**
   * Returns whether the body exceeds the limit. The library throws different errors for bodies of
   * known and of unknown length.
   */
  private static boolean isTooLarge(Throwable cause) {
    return cause instanceof EntityStreamSizeException
        || (cause instanceof EntityStreamException e
            && e.info().summary().equals("Request too large"));
  }
}
