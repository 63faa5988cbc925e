package org.cuminwell.core.model;

/**
 * Names a part of a prompt that other requests may begin with as well. Immutable and thread safe.
 *
 * @param tokens how many tokens the part has
 */
public record PromptPart(String id, long tokens) {

  /**
   * Checks the size.
   *
   * @throws IllegalArgumentException if it is negative
   */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("a prompt part can't have " + tokens + " tokens");
    }
  }
}
