package org.cuminwell.core.config;

import org.cuminwell.core.model.Bytes;

/**
 * Holds a configuration document as an operator submitted it, so that it can be returned byte for
 * byte.
 *
 * <p>Immutable and thread safe.
 *
 * @param version orders documents; only a higher version replaces a lower one
 */
public record ConfigurationDocument(long version, Bytes text) {

  /** The placeholder before any document is submitted; every other version replaces it. */
  public static final ConfigurationDocument NONE =
      new ConfigurationDocument(Long.MIN_VALUE, Bytes.copyOf(new byte[0]));

  /** Returns whether this document has a higher version than {@code other}. */
  public boolean isNewerThan(ConfigurationDocument other) {
    return version > other.version;
  }
}
