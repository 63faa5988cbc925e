package org.cuminwell.core.routing;

import java.util.List;
import org.cuminwell.core.model.PromptPart;

/**
 * Describes the prompt of a request by its parts, with hashes of its prefixes for prefix caches.
 *
 * <p>All parts but the last are expected to recur as prefixes of other requests. Immutable and
 * thread safe.
 */
public final class Prompt {

  private static final int HASH_FACTOR = 31;

  private final List<PromptPart> parts;
  private final long[] prefixHashes;
  private final long[] tokensBefore;

  /** Creates a prompt from a copy of the list. */
  public Prompt(List<PromptPart> parts) {
    this.parts = List.copyOf(parts);
    prefixHashes = new long[parts.size() + 1];
    tokensBefore = new long[parts.size() + 1];
    prefixHashes[0] = 1;
    for (int i = 0; i < parts.size(); i++) {
      prefixHashes[i + 1] = HASH_FACTOR * prefixHashes[i] + parts.get(i).hashCode();
      tokensBefore[i + 1] = tokensBefore[i] + parts.get(i).tokens();
    }
  }

  /** Returns the parts, in order. */
  public List<PromptPart> parts() {
    return parts;
  }

  /** Returns how many leading parts other requests may share. */
  public int sharedPartCount() {
    return Math.max(0, parts.size() - 1);
  }

  /** Returns a hash of the first {@code count} parts. */
  long prefixHash(int count) {
    return prefixHashes[count];
  }

  /** Returns a hash of all parts that other requests may share. */
  long sharedPrefixHash() {
    return prefixHash(sharedPartCount());
  }

  /** Returns the tokens of the prompt after its first {@code count} parts. */
  long tokensAfter(int count) {
    return tokensBefore[parts.size()] - tokensBefore[count];
  }
}
