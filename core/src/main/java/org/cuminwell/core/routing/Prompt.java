package org.cuminwell.core.routing;

import java.util.List;
import org.cuminwell.core.model.PromptPart;

/**
 * Tells what an engine has to read before it can answer a request.
 *
 * <p>Every part but the last is expected to come again with other requests. Immutable and thread
 * safe.
 */
public final class Prompt {

  private static final int HASH_FACTOR = 31;

  private final List<PromptPart> parts;
  private final long[] prefixes;
  private final long[] tokensBefore;

  /** Copies the list. */
  public Prompt(List<PromptPart> parts) {
    this.parts = List.copyOf(parts);
    prefixes = new long[parts.size() + 1];
    tokensBefore = new long[parts.size() + 1];
    prefixes[0] = 1;
    for (int i = 0; i < parts.size(); i++) {
      prefixes[i + 1] = HASH_FACTOR * prefixes[i] + parts.get(i).hashCode();
      tokensBefore[i + 1] = tokensBefore[i] + parts.get(i).tokens();
    }
  }

  /** Returns the parts, in order. */
  public List<PromptPart> parts() {
    return parts;
  }

  /** Returns how many parts other requests may share. */
  int sharedParts() {
    return Math.max(0, parts.size() - 1);
  }

  /** Returns a hash that stands for the first {@code count} parts. */
  long prefix(int count) {
    return prefixes[count];
  }

  /** Returns a hash that stands for all parts that other requests may share. */
  long sharedPrefix() {
    return prefix(sharedParts());
  }

  /** Returns the tokens of the prompt after its first {@code count} parts. */
  long tokensAfter(int count) {
    return tokensBefore[parts.size()] - tokensBefore[count];
  }
}
