package org.cuminwell.core.routing;

import java.time.Duration;
import org.cuminwell.core.membership.EndpointTable.Entry;

/** The result of selecting an engine for a prompt. Immutable and thread safe. */
public sealed interface EngineChoice {

  /**
   * The prompt is sent to an engine.
   *
   * @param prefillTokens the tokens that the engine is expected to prefill, because they are not in
   *     its prefix cache
   */
  record Chosen(Entry engine, long prefillTokens) implements EngineChoice {}

  /** No engine has headroom for the prompt; a retry after the given time may succeed. */
  record AllBusy(Duration retryAfter) implements EngineChoice {}

  /** There is no engine that could be selected. */
  record NoEngine() implements EngineChoice {}
}
