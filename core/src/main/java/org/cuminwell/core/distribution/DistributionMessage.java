package org.cuminwell.core.distribution;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Revision;

/** Carries the configuration between control hosts and gateways. Immutable and thread safe. */
public sealed interface DistributionMessage {

  /** Brings the whole configuration. */
  record Full(Configuration configuration) implements DistributionMessage {}

  /** Tells which revision the sender has in force. */
  record Held(Revision revision) implements DistributionMessage {}
}
