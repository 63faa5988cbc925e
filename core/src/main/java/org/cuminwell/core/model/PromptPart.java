package org.cuminwell.core.model;

/**
 * Identifies a part of a prompt that other prompts may share. Immutable and thread safe.
 *
 * <p>Invariant: {@code tokens} is not negative.
 *
 * @param tokens the length of the part, in tokens
 */
public record PromptPart(String id, long tokens) {

  /**
   * Checks the length.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("a prompt part can't have " + tokens + " tokens");
    }
  }
}
