package org.cuminwell.core.distribution;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.config.ConfigurationChange;
import org.cuminwell.core.config.ConfigurationIndex;
import org.cuminwell.core.distribution.DistributionMessage.Difference;
import org.cuminwell.core.distribution.DistributionMessage.Full;
import org.cuminwell.core.model.Revision;

/**
 * Holds the configuration that a process has in force, and the latest changes that led to it.
 *
 * <p>Invariant: the revision never decreases, whatever arrives. Not thread safe: one thread owns
 * it.
 */
public final class ConfigurationHolder {

  /** Describes the result of applying a difference. */
  public enum Outcome {
    /** The revision went up. */
    APPLIED,
    /** The difference leads to a revision that is already in force or older. */
    ALREADY_APPLIED,
    /** The difference starts after the revision in force, so changes are missing. */
    MISSING_CHANGES
  }

  private final ChangeWindow window = new ChangeWindow();
  private ConfigurationIndex index = ConfigurationIndex.of(Configuration.EMPTY);

  /** Applies the configuration if it is newer, and returns whether it was. */
  public boolean applyIfNewer(Configuration configuration) {
    if (!configuration.revision().isAfter(revision())) {
      return false;
    }
    index = ConfigurationIndex.of(configuration);
    window.resetTo(configuration.revision());
    return true;
  }

  /**
   * Applies a configuration that one change has made of the previous one, and returns whether it
   * was newer.
   *
   * <p>If the change does not follow the revision in force, only the whole configuration is used.
   */
  public boolean applyIfNewer(Configuration configuration, ConfigurationChange change) {
    if (!configuration.revision().equals(revision().next())) {
      return applyIfNewer(configuration);
    }
    index = ConfigurationIndex.of(configuration);
    window.append(change);
    return true;
  }

  /** Applies the changes that follow the revision in force. */
  public Outcome apply(Difference difference) {
    if (!difference.to().isAfter(revision())) {
      return Outcome.ALREADY_APPLIED;
    }
    if (difference.from().isAfter(revision())) {
      return Outcome.MISSING_CHANGES;
    }
    int appliedCount = (int) (revision().value() - difference.from().value());
    Configuration next = index.configuration();
    for (ConfigurationChange change :
        difference.changes().subList(appliedCount, difference.changes().size())) {
      next = next.apply(next.revision().next(), change);
      window.append(change);
    }
    index = ConfigurationIndex.of(next);
    return Outcome.APPLIED;
  }

  /**
   * Returns the message that brings a process from revision {@code from} to the revision in force.
   */
  public DistributionMessage messageAfter(Revision from) {
    return window
        .since(from)
        .<DistributionMessage>map(difference -> difference)
        .orElseGet(() -> new Full(index.configuration()));
  }

  /** Returns the revision in force. */
  public Revision revision() {
    return index.configuration().revision();
  }

  /** Returns whether any ticket is in force yet. */
  public boolean isReady() {
    return revision().isAfter(Revision.ZERO);
  }

  /** Returns the index of the configuration in force. */
  public ConfigurationIndex index() {
    return index;
  }
}
