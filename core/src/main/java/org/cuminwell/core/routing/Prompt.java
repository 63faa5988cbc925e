package org.cuminwell.core.routing;

import java.util.List;
import org.cuminwell.core.model.PromptPart;

/**
 * Tells what an engine has to read before it can answer a request.
 *
 * <p>Every part but the last is expected to come again with other requests. Immutable and thread
 * safe.
 */
public record Prompt(List<PromptPart> parts) {

  /** Copies the list. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** Returns how many parts other requests may share. */
  int sharedParts() {
    return Math.max(0, parts.size() - 1);
  }

  /** Returns a hash that stands for the first {@code count} parts. */
  long prefix(int count) {
    return parts.subList(0, count).hashCode();
  }

  /** Returns the tokens of the prompt after its first {@code count} parts. */
  long tokensAfter(int count) {
    return parts.stream().skip(count).mapToLong(PromptPart::tokens).sum();
  }
}
