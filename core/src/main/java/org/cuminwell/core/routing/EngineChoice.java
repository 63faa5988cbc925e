package org.cuminwell.core.routing;

import java.time.Duration;
import org.cuminwell.core.membership.EndpointTable.Entry;

/** Represents the result of selecting an engine for a prompt. Immutable and thread safe. */
public sealed interface EngineChoice {

  /**
   * Reports that the prompt is sent to an engine.
   *
   * @param prefillTokens the tokens that the engine is expected to prefill, because they are not in
   *     its prefix cache
   */
  record Chosen(Entry engine, long prefillTokens) implements EngineChoice {}

  /**
   * Reports that no engine has headroom for the prompt; a retry after the given time may succeed.
   *
   * @param ofMany whether there are many engines, so that one of them may have headroom soon
   */
  record AllBusy(Duration retryAfter, boolean ofMany) implements EngineChoice {}

  /** Reports that there is no engine that could be selected. */
  record NoEngine() implements EngineChoice {}
}
