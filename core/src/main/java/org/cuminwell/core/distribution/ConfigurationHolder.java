package org.cuminwell.core.distribution;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.model.Revision;

/**
 * Holds the configuration that a gateway has in force.
 *
 * <p>Invariant: the revision never goes down. Not thread safe: one thread owns it.
 */
public final class ConfigurationHolder {

  private ConfigurationIndex index = ConfigurationIndex.of(Configuration.EMPTY);

  /** Puts the configuration in force unless it is older, and returns whether it was newer. */
  public boolean offer(Configuration configuration) {
    if (!configuration.revision().isAfter(revision())) {
      return false;
    }
    index = ConfigurationIndex.of(configuration);
    return true;
  }

  /** Returns the revision in force. */
  public Revision revision() {
    return index.configuration().revision();
  }

  /** Returns whether any ticket is in force yet. */
  public boolean isReady() {
    return revision().isAfter(Revision.ZERO);
  }

  /** Returns the index of what is in force. */
  public ConfigurationIndex index() {
    return index;
  }
}
