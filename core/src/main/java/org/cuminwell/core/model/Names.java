package org.cuminwell.core.model;

import java.util.regex.Pattern;

/**
 * Defines the syntax of names in one place, so that a name accepted anywhere is accepted
 * everywhere.
 */
public final class Names {

  /** The maximum length of a name, in characters. */
  public static final int MAX_LENGTH = 64;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,63}");

  private Names() {}

  /** Returns whether {@code value} is a valid name. */
  public static boolean isName(String value) {
    return NAME.matcher(value).matches();
  }

  /**
   * Returns {@code value} if it is a valid name.
   *
   * @param kind what the name identifies, for the error message
   * @throws IllegalArgumentException if {@code value} is not a valid name; the message states the
   *     allowed syntax
   */
  public static String requireName(String value, String kind) {
    if (!isName(value)) {
      throw new IllegalArgumentException(
          kind
              + " must be 1 to "
              + MAX_LENGTH
              + " letters, digits, '.', '_', ':' or '-', and start with a letter or digit; found '"
              + value
              + "'");
    }
    return value;
  }
}
