package org.cuminwell.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cuminwell.core.model.KeyHash;
import org.cuminwell.core.model.RequestId;

/**
 * Holds what decisions need of a request that is to be forwarded; its bytes stay with the front
 * end.
 *
 * <p>Immutable and thread safe.
 *
 * @param callerId the name that the caller gave the request; endpoints know it by this name
 * @param host the host name that the caller asked for
 * @param path the path, without the query
 * @param arrivedAt when the headers had come
 * @param patience how long the caller waits for the whole answer, if it says so
 * @param tokens what the request is charged, in tokens, if it says so
 * @param promptParts the names of the parts of the prompt that other requests may share, in order
 */
public record ForwardHead(
    RequestId id,
    String callerId,
    String host,
    String path,
    Optional<KeyHash> key,
    Instant arrivedAt,
    Optional<Duration> patience,
    OptionalLong tokens,
    List<String> promptParts) {

  /** Copies the list. */
  public ForwardHead {
    promptParts = List.copyOf(promptParts);
  }
}
