package org.cuminwell.core.routing;

import java.time.Duration;
import org.cuminwell.core.membership.EndpointTable.Entry;

/** Says where a prompt goes. Immutable and thread safe. */
public sealed interface EngineChoice {

  /**
   * The prompt goes to an engine.
   *
   * @param toRead the tokens that the engine is expected to read, since it has not kept them
   */
  record Chosen(Entry engine, long toRead) implements EngineChoice {}

  /** Every engine has as much to read as it can bear; it may be otherwise after a while. */
  record AllBusy(Duration retryAfter) implements EngineChoice {}

  /** There is no engine. */
  record NoneThere() implements EngineChoice {}
}
