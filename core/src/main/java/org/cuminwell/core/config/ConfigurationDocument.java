package org.cuminwell.core.config;

import org.cuminwell.core.model.Bytes;

/**
 * Keeps a configuration as it was submitted, so that it can be given back word for word.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the number that orders documents; a lower one never replaces a higher one
 */
public record ConfigurationDocument(long version, Bytes text) {

  /** Stands for no document. */
  public static final ConfigurationDocument NONE =
      new ConfigurationDocument(Long.MIN_VALUE, Bytes.copyOf(new byte[0]));

  /** Returns whether this document goes before {@code other}. */
  public boolean replaces(ConfigurationDocument other) {
    return version > other.version;
  }
}
